import { inspect } from "node:util";

const hidden = "[hidden]";

/** A value that logs, JSON and templates show as `[hidden]`; only {@link Secret.reveal} gives it. */
export class Secret {
    readonly #value: string;

    constructor(value: string) {
        this.#value = value;
    }

    /**
     * Gives the value itself.
     *
     * @returns the secret text, which must not be logged
     */
    reveal(): string {
        return this.#value;
    }

    toString(): string {
        return hidden;
    }

    toJSON(): string {
        return hidden;
    }

    [inspect.custom](): string {
        return hidden;
    }
}
