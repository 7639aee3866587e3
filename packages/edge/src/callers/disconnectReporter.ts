import { type Clock, type DisconnectCause } from "@galenaglade/http-parts";
import { type Socket } from "node:net";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type PendingRequest } from "./pendingRequest.js";

/** Maximum number of requests that a log line names. */
const maxNamedRequests = 16;

/** Dependencies of a {@link DisconnectReporter}. */
export interface DisconnectReporterDeps {
    readonly clock: Clock;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** A request whose caller has left, as it was then. */
interface LeftRequest {
    readonly request: PendingRequest;
    readonly stage: string;
    readonly sends: number;
}

/** Requests of one connection that has ended. */
interface Disconnect {
    readonly cause: DisconnectCause;
    readonly leftAtMs: number;
    readonly requests: LeftRequest[];
}

/** Reports each connection that ended while requests on it were being handled, and when the last send for them is over. */
export class DisconnectReporter {
    readonly #deps: DisconnectReporterDeps;
    readonly #disconnects = new Map<Socket, Disconnect>();

    constructor(deps: DisconnectReporterDeps) {
        this.#deps = deps;
    }

    /** Records a request whose connection has just ended, before anything that was done for it is cancelled. */
    onCallerLeft(socket: Socket, cause: DisconnectCause, request: PendingRequest): void {
        const { stage } = request;
        const left: LeftRequest = { request, stage, sends: request.sends.inFlight };
        this.#deps.metrics.onCallerLeft(stage, cause);
        const known = this.#disconnects.get(socket);
        if (known !== undefined) {
            known.requests.push(left);
            return;
        }
        const disconnect: Disconnect = { cause, leftAtMs: this.#deps.clock.monotonicMs(), requests: [left] };
        this.#disconnects.set(socket, disconnect);
        // All requests of the connection are told of its end in this turn.
        setImmediate(() => {
            this.#disconnects.delete(socket);
            void this.#report(disconnect);
        });
    }

    async #report({ cause, leftAtMs, requests }: Disconnect): Promise<void> {
        const { clock, log, metrics } = this.#deps;
        const sends = requests.reduce((sum, left) => sum + left.sends, 0);
        const fields = {
            cause,
            count: requests.length,
            requests: requests.slice(0, maxNamedRequests)
                .map(({ request, stage }) => `${request.requestId ?? ""}:${stage}`).join(","),
            sends,
        };
        log.log("info", "callerLeft", fields);
        if (sends === 0) {
            return;
        }
        await Promise.all(requests.map(({ request }) => request.sends.whenIdle()));
        const tookMs = Math.round(clock.monotonicMs() - leftAtMs);
        const isCancelled = requests.every(({ request, sends: count }) => count === 0 || !request.sendsGoOn);
        metrics.onDisconnectSendsEnded(tookMs, isCancelled);
        log.log("info", "callerLeftSettled", { ...fields, isCancelled, tookMs });
    }
}
