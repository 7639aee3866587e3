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

/** Failed exchanges that are kept for one service. */
const mostKept = 64;

/**
 * What the exchanges with one service's servers say of this host's links to them. Exchanges are ordered by when they began: an answer
 * that comes late shows only that its server was reached when the request was written.
 */
export class LinkFailureDetector {
    #heardAtMs: number | undefined;
    #heardOnNewAtMs: number | undefined;
    #failed: readonly FailedContact[] = [];
    #failedOnNew: readonly FailedContact[] = [];

    /** When the newest exchange that was answered began; `undefined` where none was. */
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

    /** Forgets all failures, as after the links were found to work. */
    clear(): void {
        this.#failed = [];
        this.#failedOnNew = [];
    }

    /**
     * @param countServers - counts those of the service that may be given work
     * @returns why the links are doubted; `undefined` where they aren't
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

/** What began before, or together with, an exchange that was answered says nothing. */
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
