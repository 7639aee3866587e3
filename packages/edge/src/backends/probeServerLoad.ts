import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RawHeaders, ResponseFramingError } from "@galenaglade/http-parts";
import { type ServerStatus } from "@galenaglade/placement";
import { type ServerContactResult } from "@galenaglade/reachability";
import { type Dispatcher } from "undici";
import { maxProbeBodyBytes } from "../constants.js";
import { type ResponseMetadata, type EdgeMetadataCodec } from "../metadataCodec.js";
import { classifyConnectionError } from "./classifyConnectionError.js";
import { readRawHeaders } from "./readRawHeaders.js";
import { type ServerConnection } from "./serverConnection.js";

const okStatus = 200;

/** Options of one load probe. */
export interface LoadProbeOptions {
    readonly server: RegisteredServer;
    readonly connection: ServerConnection;
    readonly healthPath: string;
    readonly metadataCodec: EdgeMetadataCodec;
    readonly timeoutMs: number;
}

/** The load that a server reported. */
export interface LoadProbeSuccess {
    readonly type: "told";
    readonly status: ServerStatus;
    readonly metadata: ResponseMetadata;
}

/**
 * Why a load probe failed; `otherServer` if a different server responded, `notAnAnswer` if what the server sent exceeds
 * what such a response may have.
 */
export interface LoadProbeFailure {
    readonly type: "untold";
    readonly reason: Exclude<ServerContactResult, "heard"> | "otherServer" | "notAnAnswer";
}

/**
 * Probes the current load of a backend server. It is called right before a request is sent, since load changes within
 * milliseconds and an older report is of little use.
 *
 * @param options - the server, a connection to it and the timeout
 * @returns the reported load, or the reason why none was received in time
 */
export function probeServerLoad(options: LoadProbeOptions): Promise<LoadProbeSuccess | LoadProbeFailure> {
    return new Promise(resolve => {
        const handler = new LoadProbeHandler(options, resolve);
        options.connection.dispatch({ method: "GET", path: options.healthPath }, handler);
    });
}

class LoadProbeHandler implements Dispatcher.DispatchHandler {
    readonly #options: LoadProbeOptions;
    readonly #resolve: (result: LoadProbeSuccess | LoadProbeFailure) => void;
    readonly #timer: NodeJS.Timeout;
    #controller: Dispatcher.DispatchController | undefined;
    #result: LoadProbeSuccess | LoadProbeFailure = { type: "untold", reason: "lost" };
    #isSettled = false;
    #bodyBytes = 0;

    constructor(options: LoadProbeOptions, resolve: (result: LoadProbeSuccess | LoadProbeFailure) => void) {
        this.#options = options;
        this.#resolve = resolve;
        // After a long event-loop turn, timers run before I/O that is already received. `setImmediate` lets that I/O be
        // handled first, so that a delay of this process doesn't count as a timeout of the server.
        this.#timer = setTimeout(() => setImmediate(() => this.#onTimeout()), options.timeoutMs);
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.#controller = controller;
        if (this.#isSettled) {
            controller.abort(new Error("load probe timed out"));
        }
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        this.#options.connection.onResponse();
        this.#result = this.#readReport(status, readRawHeaders(controller.rawHeaders));
    }

    /** The load is reported in the headers; the body is ignored. */
    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.#bodyBytes += chunk.length;
        if (this.#bodyBytes > maxProbeBodyBytes) {
            this.#settle({ type: "untold", reason: "notAnAnswer" });
            controller.abort(new Error("the response to a load probe is too large"));
        }
    }

    onResponseEnd(): void {
        this.#settle(this.#result);
    }

    onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
        const reason = err instanceof ResponseFramingError ? "notAnAnswer" : classifyConnectionError(err);
        this.#settle({ type: "untold", reason });
    }

    #onTimeout(): void {
        if (this.#isSettled) {
            return;
        }
        this.#settle({ type: "untold", reason: "silent" });
        this.#controller?.abort(new Error("load probe timed out"));
    }

    #readReport(status: number, headers: RawHeaders): LoadProbeSuccess | LoadProbeFailure {
        const { server, metadataCodec } = this.#options;
        const metadata = metadataCodec.readResponse(status, headers);
        if (metadata.serverId !== server.id) {
            return { type: "untold", reason: "otherServer" };
        }
        const offer: ServerStatus = {
            serverId: server.id,
            availabilityZone: server.availabilityZone,
            load: metadata.load,
            slots: server.slots,
            healthy: status === okStatus,
            coldRemainingMs: metadata.coldRemainingMs,
        };
        return { type: "told", status: offer, metadata: metadata };
    }

    #settle(result: LoadProbeSuccess | LoadProbeFailure): void {
        if (this.#isSettled) {
            return;
        }
        this.#isSettled = true;
        clearTimeout(this.#timer);
        this.#resolve(result);
    }
}

/** Bytes from any server, even the wrong one, show that the network path works. */
export function toContactResult(result: LoadProbeSuccess | LoadProbeFailure): ServerContactResult {
    if (result.type === "told" || result.reason === "otherServer" || result.reason === "notAnAnswer") {
        return "heard";
    }
    return result.reason;
}
