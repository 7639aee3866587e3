import { minFailedExchanges, minFailureDurationMs, minFailedServers } from "./constants.js";
import {
    type ServerContact,
    type ServerContactResult,
    type LinkFailure,
    type LinkFailureKind,
} from "./serverContact.js";

interface FailedContact {
    readonly serverId: string;
    readonly end: ServerContactResult;
    readonly startedAtMs: number;
}

/** Maximum number of failed exchanges kept per service. */
const mostKept = 64;

/**
 * Detects failing links to one service from the exchanges with its servers. Exchanges are ordered by start time: a
 * late answer only shows that the server was reachable when the request was written.
 */
export class LinkFailureDetector {
    #heardAtMs: number | undefined;
    #heardOnNewAtMs: number | undefined;
    #failed: readonly FailedContact[] = [];
    #failedOnNew: readonly FailedContact[] = [];

    /** Start time of the newest answered exchange, in milliseconds; `undefined` if there was none. */
    get lastAnsweredStartMs(): number | undefined {
        return this.#heardAtMs;
    }

    onContact(contact: ServerContact): void {
        if (contact.end === "heard") {
            this.#onHeard(contact);
            return;
        }
        this.#failed = add(this.#failed, contact, this.#heardAtMs);
        if (contact.isNewConnection) {
            this.#failedOnNew = add(this.#failedOnNew, contact, this.#heardOnNewAtMs);
        }
    }

    /** Forgets all failures. Called when the links have recovered. */
    clear(): void {
        this.#failed = [];
        this.#failedOnNew = [];
    }

    /**
     * @param countServers - counts the servers of the service that may get requests
     * @returns the evidence that the links fail; `undefined` if there is not enough
     */
    detectFailure(countServers: () => number, nowMs: number): LinkFailure | undefined {
        return describe("all", this.#failed, this.#heardAtMs, countServers, nowMs)
            ?? describe("newConnections", this.#failedOnNew, this.#heardOnNewAtMs, countServers, nowMs);
    }

    #onHeard({ startedAtMs, isNewConnection }: ServerContact): void {
        this.#heardAtMs = Math.max(this.#heardAtMs ?? -Infinity, startedAtMs);
        this.#failed = since(this.#failed, this.#heardAtMs);
        if (isNewConnection) {
            this.#heardOnNewAtMs = Math.max(this.#heardOnNewAtMs ?? -Infinity, startedAtMs);
            this.#failedOnNew = since(this.#failedOnNew, this.#heardOnNewAtMs);
        }
    }
}

/** Drops failures of exchanges that started no later than an answered one: they are no evidence. */
function since(failed: readonly FailedContact[], heardAtMs: number): readonly FailedContact[] {
    return failed.length === 0 ? failed : failed.filter(({ startedAtMs }) => startedAtMs > heardAtMs);
}

function add(
    failed: readonly FailedContact[],
    { serverId, end, startedAtMs }: ServerContact,
    heardAtMs: number | undefined,
): readonly FailedContact[] {
    if (heardAtMs !== undefined && startedAtMs <= heardAtMs) {
        return failed;
    }
    return [...failed.slice(-(mostKept - 1)), { serverId, end, startedAtMs }];
}

function describe(
    kind: LinkFailureKind,
    failed: readonly FailedContact[],
    heardAtMs: number | undefined,
    countServers: () => number,
    nowMs: number,
): LinkFailure | undefined {
    if (failed.length < minFailedExchanges) {
        return undefined;
    }
    const failedServers = new Set(failed.map(({ serverId }) => serverId)).size;
    const forMs = nowMs - Math.min(...failed.map(({ startedAtMs }) => startedAtMs));
    const wanted = Math.min(minFailedServers, Math.max(1, countServers()));
    if (forMs < minFailureDurationMs[kind] || failedServers < wanted) {
        return undefined;
    }
    const ends: Partial<Record<ServerContactResult, number>> = {};
    for (const { end } of failed) {
        ends[end] = (ends[end] ?? 0) + 1;
    }
    return {
        kind,
        servers: failedServers,
        ends,
        forMs,
        heardAgoMs: heardAtMs === undefined ? undefined : nowMs - heardAtMs,
    };
}
