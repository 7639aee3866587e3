import { clientHeader } from "@galenaglade/platform";
import { type Maybe, Nothing } from "purify-ts";
import { Client, type Dispatcher } from "undici";
import { connectTimeoutMs } from "../constants.js";
import { loadPath, maximumLoadAnswerBytes, probeTimeoutMs } from "./constants.js";
import { type LoadAnswer, resolveLoadAnswer } from "./loadAnswer.js";

/** One probe of one backend server. */
export interface ProbeInput {
    /** Such as `http://10.0.0.1:8080`. */
    readonly origin: string;
    /** Name by which the backend server knows who asks. */
    readonly client: string;
    /** Asked in the same turn in which the first byte is given to the connection. */
    readonly mayStillSend: () => boolean;
    /** Ends the probe. */
    readonly signal: AbortSignal;
}

/**
 * Asks a backend server for its load, over a connection of its own: those of requests may all be busy or gone silent.
 *
 * @param input - the probe
 * @returns what the server said, once the connection is closed; nothing where it gave no load answer. Never fails
 */
export async function sendProbe(input: ProbeInput): Promise<Maybe<LoadAnswer>> {
    const client = new Client(input.origin, { connect: { timeout: connectTimeoutMs } });
    const answer = await new Promise<Maybe<LoadAnswer>>(resolve => {
        const handler = new ProbeHandler(input, resolve);
        client.dispatch({ method: "GET", path: loadPath, headers: { [clientHeader]: input.client } }, handler);
    });
    await client.destroy();
    return answer;
}

/** Follows one probe, and reads no more of its answer than is allowed. */
class ProbeHandler implements Dispatcher.DispatchHandler {
    readonly #input: ProbeInput;
    readonly #resolve: (answer: Maybe<LoadAnswer>) => void;
    readonly #chunks: Buffer[] = [];
    readonly #timer: NodeJS.Timeout;
    readonly #onAbort = (): void => this.#end(Nothing);
    #bytes = 0;

    constructor(input: ProbeInput, resolve: (answer: Maybe<LoadAnswer>) => void) {
        this.#input = input;
        this.#resolve = resolve;
        // Over everything, the connection included: a server that sends a byte now and then would hold the probe open.
        this.#timer = setTimeout(this.#onAbort, probeTimeoutMs);
        input.signal.addEventListener("abort", this.#onAbort, { once: true });
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.#input.signal.aborted || !this.#input.mayStillSend()) {
            controller.abort(new Error("the probe is not sent any more"));
        }
    }

    onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
        if (status >= 300) {
            this.#end(Nothing);
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.#bytes += chunk.length;
        // An answer without end would fill the gateway's memory; ending the probe closes its connection.
        if (this.#bytes > maximumLoadAnswerBytes) {
            this.#end(Nothing);
            return;
        }
        this.#chunks.push(chunk);
    }

    onResponseEnd(): void {
        this.#end(resolveLoadAnswer(Buffer.concat(this.#chunks).toString("utf8")));
    }

    onResponseError(): void {
        this.#end(Nothing);
    }

    #end(answer: Maybe<LoadAnswer>): void {
        clearTimeout(this.#timer);
        this.#input.signal.removeEventListener("abort", this.#onAbort);
        this.#resolve(answer);
    }
}
