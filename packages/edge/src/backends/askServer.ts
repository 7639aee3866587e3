import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RawHeaders } from "@galenaglade/http-parts";
import { type ServerStatus } from "@galenaglade/placement";
import { type ServerContactResult } from "@galenaglade/reachability";
import { type Dispatcher } from "undici";
import { type AnswerSigns, type EdgeVocabulary } from "../vocabulary.js";
import { findContactEnd } from "./contactEnds.js";
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
    readonly type: "told";
    readonly offer: ServerStatus;
    readonly signs: AnswerSigns;
}

/** Why a server told nothing; `otherServer` where another one answered. */
export interface LoadSilence {
    readonly type: "untold";
    readonly reason: Exclude<ServerContactResult, "heard"> | "otherServer";
}

/**
 * Asks a backend server how loaded it is, right before something is sent to it. Any older figure is worth little: load
 * moves within milliseconds.
 *
 * @param input - whom to ask
 * @returns what it said, or why it said nothing in time
 */
export function askServer(input: AskInput): Promise<LoadAnswer | LoadSilence> {
    return new Promise(resolve => {
        const handler = new AskHandler(input, resolve);
        input.connection.dispatch({ method: "GET", path: input.healthPath }, handler);
    });
}

class AskHandler implements Dispatcher.DispatchHandler {
    readonly #input: AskInput;
    readonly #resolve: (answer: LoadAnswer | LoadSilence) => void;
    readonly #timer: NodeJS.Timeout;
    #controller: Dispatcher.DispatchController | undefined;
    #answer: LoadAnswer | LoadSilence = { type: "untold", reason: "lost" };
    #settled = false;

    constructor(input: AskInput, resolve: (answer: LoadAnswer | LoadSilence) => void) {
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
        this.#input.connection.onAnswer();
        this.#answer = this.#read(status, readRawHeaders(controller.rawHeaders));
    }

    onResponseData(): void {
        // The head says all that is asked.
    }

    onResponseEnd(): void {
        this.#settle(this.#answer);
    }

    onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
        this.#settle({ type: "untold", reason: findContactEnd(err) });
    }

    #giveUp(): void {
        if (this.#settled) {
            return;
        }
        this.#settle({ type: "untold", reason: "silent" });
        this.#controller?.abort(new Error("no answer in time"));
    }

    #read(status: number, headers: RawHeaders): LoadAnswer | LoadSilence {
        const { server, vocabulary } = this.#input;
        const signs = vocabulary.readAnswer(status, headers);
        if (signs.serverId !== server.id) {
            return { type: "untold", reason: "otherServer" };
        }
        const offer: ServerStatus = {
            serverId: server.id,
            availabilityZone: server.availabilityZone,
            load: signs.load,
            slots: server.slots,
            healthy: status === okStatus,
            coldRemainingMs: signs.coldRemainingMs,
        };
        return { type: "told", offer, signs };
    }

    #settle(answer: LoadAnswer | LoadSilence): void {
        if (this.#settled) {
            return;
        }
        this.#settled = true;
        clearTimeout(this.#timer);
        this.#resolve(answer);
    }
}
