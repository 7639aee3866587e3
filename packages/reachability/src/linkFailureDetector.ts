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
const maxKeptFailures = 64;

/**
 * Detects failing links to one service from the exchanges with its servers. Exchanges are ordered by start time: a
 * late answer only shows that the server was reachable when the request was written.
 */
export class LinkFailureDetector {
    #lastAnsweredStartMs: number | undefined;
    #lastAnsweredOnNewStartMs: number | undefined;
    #failed: readonly FailedContact[] = [];
    #failedOnNew: readonly FailedContact[] = [];

    /** Start time of the newest answered exchange, in milliseconds; `undefined` if there was none. */
    get lastAnsweredStartMs(): number | undefined {
        return this.#lastAnsweredStartMs;
    }

    onContact(contact: ServerContact): void {
        if (contact.end === "heard") {
            this.#onAnswered(contact);
            return;
        }
        this.#failed = addFailure(this.#failed, contact, this.#lastAnsweredStartMs);
        if (contact.isNewConnection) {
            this.#failedOnNew = addFailure(this.#failedOnNew, contact, this.#lastAnsweredOnNewStartMs);
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
        return resolveLinkFailure("all", this.#failed, this.#lastAnsweredStartMs, countServers, nowMs)
            ?? resolveLinkFailure(
                "newConnections",
                this.#failedOnNew,
                this.#lastAnsweredOnNewStartMs,
                countServers,
                nowMs,
            );
    }

    #onAnswered({ startedAtMs, isNewConnection }: ServerContact): void {
        this.#lastAnsweredStartMs = Math.max(this.#lastAnsweredStartMs ?? -Infinity, startedAtMs);
        this.#failed = dropObsolete(this.#failed, this.#lastAnsweredStartMs);
        if (isNewConnection) {
            this.#lastAnsweredOnNewStartMs = Math.max(this.#lastAnsweredOnNewStartMs ?? -Infinity, startedAtMs);
            this.#failedOnNew = dropObsolete(this.#failedOnNew, this.#lastAnsweredOnNewStartMs);
        }
    }
}

/** Drops failures of exchanges that started no later than an answered one: they are no evidence. */
function dropObsolete(failed: readonly FailedContact[], lastAnsweredStartMs: number): readonly FailedContact[] {
    return failed.length === 0 ? failed : failed.filter(({ startedAtMs }) => startedAtMs > lastAnsweredStartMs);
}

function addFailure(
    failed: readonly FailedContact[],
    { serverId, end, startedAtMs }: ServerContact,
    lastAnsweredStartMs: number | undefined,
): readonly FailedContact[] {
    if (lastAnsweredStartMs !== undefined && startedAtMs <= lastAnsweredStartMs) {
        return failed;
    }
    return [...failed.slice(-(maxKeptFailures - 1)), { serverId, end, startedAtMs }];
}

function resolveLinkFailure(
    kind: LinkFailureKind,
    failed: readonly FailedContact[],
    lastAnsweredStartMs: number | undefined,
    countServers: () => number,
    nowMs: number,
): LinkFailure | undefined {
    if (failed.length < minFailedExchanges) {
        return undefined;
    }
    const failedServers = new Set(failed.map(({ serverId }) => serverId)).size;
    const forMs = nowMs - Math.min(...failed.map(({ startedAtMs }) => startedAtMs));
    const requiredServers = Math.min(minFailedServers, Math.max(1, countServers()));
    if (forMs < minFailureDurationMs[kind] || failedServers < requiredServers) {
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
        heardAgoMs: lastAnsweredStartMs === undefined ? undefined : nowMs - lastAnsweredStartMs,
    };
}
