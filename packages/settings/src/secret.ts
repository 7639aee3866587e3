import { inspect } from "node:util";

const redacted = "[hidden]";

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
        return redacted;
    }

    toJSON(): string {
        return redacted;
    }

    [inspect.custom](): string {
        return redacted;
    }
}
