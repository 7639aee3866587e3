import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RawHeaders } from "@galenaglade/http-parts";
import { type ServerOffer } from "@galenaglade/placement";
import { type Dispatcher } from "undici";
import { type AnswerSigns, type EdgeVocabulary } from "../vocabulary.js";
import { readRawHeaders } from "./rawHeaders.js";
import { type ServerConnection } from "./serverConnection.js";

const okStatus = 200;

/** What to ask with. */
export interface AskInput {
    readonly server: RegisteredServer;
    readonly connection: ServerConnection;
    readonly healthPath: string;
    readonly vocabulary: EdgeVocabulary;
    readonly timeoutMs: number;
}

/** What a server said when it was asked. */
export interface LoadAnswer {
    readonly offer: ServerOffer;
    readonly signs: AnswerSigns;
}

/**
 * Asks a backend server how loaded it is, right before something is sent to it. Any older figure is worth little: load
 * moves within milliseconds.
 *
 * @param input - whom to ask
 * @returns what it said, or `undefined` where it didn't answer in time or another server did
 */
export function askServer(input: AskInput): Promise<LoadAnswer | undefined> {
    return new Promise(resolve => {
        const handler = new AskHandler(input, resolve);
        input.connection.dispatch({ method: "GET", path: input.healthPath }, handler);
    });
}

class AskHandler implements Dispatcher.DispatchHandler {
    readonly #input: AskInput;
    readonly #resolve: (answer: LoadAnswer | undefined) => void;
    readonly #timer: NodeJS.Timeout;
    #controller: Dispatcher.DispatchController | undefined;
    #answer: LoadAnswer | undefined;
    #settled = false;

    constructor(input: AskInput, resolve: (answer: LoadAnswer | undefined) => void) {
        this.#input = input;
        this.#resolve = resolve;
        // After a long turn of the event loop its timers come before what has been received meanwhile. Taken for silent then,
        // servers would be blamed and connections closed for this process's own delay.
        this.#timer = setTimeout(() => setImmediate(() => this.#giveUp()), input.timeoutMs);
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.#controller = controller;
        if (this.#settled) {
            controller.abort(new Error("no answer in time"));
        }
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        this.#answer = this.#read(status, readRawHeaders(controller.rawHeaders));
    }

    onResponseData(): void {
        // The head says all that is asked.
    }

    onResponseEnd(): void {
        this.#settle(this.#answer);
    }

    onResponseError(): void {
        this.#settle(undefined);
    }

    #giveUp(): void {
        if (this.#settled) {
            return;
        }
        this.#settle(undefined);
        this.#controller?.abort(new Error("no answer in time"));
    }

    #read(status: number, headers: RawHeaders): LoadAnswer | undefined {
        const { server, vocabulary } = this.#input;
        const signs = vocabulary.readAnswer(status, headers);
        if (signs.serverId !== server.id) {
            return undefined;
        }
        const offer: ServerOffer = {
            serverId: server.id,
            availabilityZone: server.availabilityZone,
            load: signs.load,
            slots: server.slots,
            healthy: status === okStatus,
            coldRemainingMs: signs.coldRemainingMs,
        };
        return { offer, signs };
    }

    #settle(answer: LoadAnswer | undefined): void {
        if (this.#settled) {
            return;
        }
        this.#settled = true;
        clearTimeout(this.#timer);
        this.#resolve(answer);
    }
}
