import { inspect } from "node:util";

const hidden = "[hidden]";

/** A secret text that is shown as `[hidden]` in logs, JSON and templates; only {@link Secret.reveal} returns it. */
export class Secret {
    readonly #value: string;

    constructor(value: string) {
        this.#value = value;
    }

    /** @returns the secret text, which must not be logged */
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
