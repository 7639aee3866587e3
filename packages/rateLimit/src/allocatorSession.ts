import {
    allocatorTimeoutMs,
    lateTickThresholdMs,
    leaseMarginMs,
    leaseMs,
    maxMessageEntries,
    maxMessageBytes,
    retransmitPeriodMs,
} from "./constants.js";
import {
    type LimitResponseMessage,
    type LimitRequestEntry,
    type LimitRequestMessage,
    protocolVersion,
} from "./messages.js";
import { type LimitRule } from "./model.js";
import { type PendingRequest } from "./pendingRequest.js";

/** A message in flight, with the requests that each of its entries covers. */
interface SentMessage {
    readonly message: LimitRequestMessage;
    readonly requests: readonly (readonly PendingRequest[])[];
    readonly sentAtMs: number;
}

/** Options common to all messages of a session. */
export interface AllocatorSessionOptions {
    readonly allocator: string;
    readonly name: string;
    readonly incarnation: string;
    readonly group: number;
    /**
     * Returns increasing numbers across all sessions of the process, so that a recreated session doesn't repeat one.
     */
    readonly nextSeq: () => number;
}

/** An entry of a response, with the requests that it decides. */
export type DecidedEntry = LimitResponseMessage["entries"][number] & { readonly requests: readonly PendingRequest[]; };

/** A session of this host with the allocator of one group, with at most one message in flight. */
export class AllocatorSession {
    /** Latest time at which the allocator may still hold this host's share, on this host's clock. */
    shareLeaseEndMs = -Infinity;
    /** Whether the share was withdrawn and the allocator hasn't confirmed that yet. */
    isReleasing = false;
    readonly #options: AllocatorSessionOptions;
    #echo: { readonly life: string; readonly atMs: number; } | undefined;
    #echoReceivedAtMs = -Infinity;
    #inFlight: SentMessage | undefined;
    /** Share sent in the latest message with an echo of the allocator's current incarnation; 0 without an echo. */
    #delegatedShare = 0;
    #lastSentAtMs = -Infinity;
    #unansweredSinceMs: number | undefined;
    #wasTimeoutExtended = false;
    readonly #givenBackTokens = new Map<string, { readonly rule: LimitRule; readonly count: number; }>();

    constructor(options: AllocatorSessionOptions) {
        this.#options = options;
    }

    get allocator(): string {
        return this.#options.allocator;
    }

    /** Whether the allocator has responded, so that tokens can be requested from it. */
    get hasResponded(): boolean {
        return this.#echo !== undefined;
    }

    /** Share delegated in the latest message, which takes effect only with an echo of the allocator's timestamp. */
    get delegatedShare(): number {
        return this.#delegatedShare;
    }

    /** When a message was last sent. */
    get lastSentAtMs(): number {
        return this.#lastSentAtMs;
    }

    get hasMessageInFlight(): boolean {
        return this.#inFlight !== undefined;
    }

    /** Whether a request for tokens is in flight. */
    get isAwaitingTokens(): boolean {
        return this.#inFlight !== undefined && this.#inFlight.requests.some(requests => requests.length > 0);
    }

    /** When the allocator is considered lost if it doesn't respond. */
    get timeoutAtMs(): number {
        return (this.#unansweredSinceMs ?? Infinity) + allocatorTimeoutMs;
    }

    /** @returns whether the allocator is considered lost */
    isTimedOut(nowMs: number): boolean {
        if (nowMs < this.timeoutAtMs) {
            return false;
        }
        // If this host was blocked, the response may be waiting in its socket; one more retransmission period lets it
        // be read.
        if (!this.#wasTimeoutExtended && nowMs - this.timeoutAtMs > lateTickThresholdMs) {
            this.#wasTimeoutExtended = true;
            this.#unansweredSinceMs = nowMs - allocatorTimeoutMs + retransmitPeriodMs;
            return false;
        }
        return true;
    }

    /**
     * Makes this the session with the current allocator. Restarts the timeout, so that earlier unanswered messages
     * don't count.
     */
    activate(nowMs: number): void {
        this.isReleasing = false;
        this.#wasTimeoutExtended = false;
        this.#unansweredSinceMs = this.#inFlight === undefined ? undefined : nowMs;
    }

    /** @returns requests for which tokens were requested and no response has arrived */
    unansweredRequests(): readonly PendingRequest[] {
        return this.#inFlight?.requests.flat() ?? [];
    }

    /** Records unused tokens, which are returned with the next message. */
    giveBack(rule: LimitRule, count: number): void {
        const before = this.#givenBackTokens.get(rule.workspace)?.count ?? 0;
        this.#givenBackTokens.set(rule.workspace, { rule, count: before + count });
    }

    /**
     * Creates a message that replaces the one in flight.
     *
     * @param share - share to delegate, from 0 to 1
     * @param requests - requests waiting for tokens; those that fit into the message are removed from the front
     * @returns the message to be sent
     */
    createMessage(share: number, requests: PendingRequest[], nowMs: number): LimitRequestMessage {
        const { entries, taken } = this.#createEntries(requests);
        const { name, incarnation, group, nextSeq } = this.#options;
        const message: LimitRequestMessage = {
            v: protocolVersion,
            type: "ask",
            sender: name,
            life: incarnation,
            seq: nextSeq(),
            group,
            share,
            echo: this.#echo,
            entries,
        };
        this.#inFlight = { message, requests: taken, sentAtMs: nowMs };
        this.#lastSentAtMs = nowMs;
        this.#unansweredSinceMs ??= nowMs;
        this.#delegatedShare = this.#echo === undefined ? 0 : share;
        if (this.#delegatedShare > 0) {
            this.shareLeaseEndMs = Math.max(this.shareLeaseEndMs, this.#echoReceivedAtMs + leaseMs + leaseMarginMs);
        }
        return message;
    }

    /** @returns the message in flight, to be sent again */
    retransmit(nowMs: number): LimitRequestMessage | undefined {
        this.#lastSentAtMs = nowMs;
        return this.#inFlight?.message;
    }

    /** @returns the entries of a response; `undefined` if it doesn't match the message in flight */
    onResponse(response: LimitResponseMessage, nowMs: number): readonly DecidedEntry[] | undefined {
        const inFlight = this.#inFlight;
        if (response.leaving === true) {
            return this.#onAllocatorLeaving(response);
        }
        if (
            inFlight === undefined || response.seq !== inFlight.message.seq
            || response.entries.length !== inFlight.requests.length
        ) {
            return undefined;
        }
        this.#inFlight = undefined;
        this.#unansweredSinceMs = undefined;
        this.#wasTimeoutExtended = false;
        const isNewIncarnation = this.#echo !== undefined && this.#echo.life !== response.life;
        if (isNewIncarnation || inFlight.message.share === 0) {
            // A new incarnation has dropped all shares, and a message without a share confirms that none is held.
            this.shareLeaseEndMs = -Infinity;
            this.#delegatedShare = 0;
        }
        this.#echo = { life: response.life, atMs: response.atMs };
        this.#echoReceivedAtMs = nowMs;
        return response.entries.map((entry, i) => ({ ...entry, requests: inFlight.requests[i] ?? [] }));
    }

    #onAllocatorLeaving(response: LimitResponseMessage): readonly DecidedEntry[] | undefined {
        if (this.#echo !== undefined && response.life !== this.#echo.life) {
            return undefined;
        }
        this.shareLeaseEndMs = -Infinity;
        this.#delegatedShare = 0;
        this.#inFlight = undefined;
        this.#echo = undefined;
        return [];
    }

    #createEntries(
        requests: PendingRequest[],
    ): { readonly entries: LimitRequestEntry[]; readonly taken: readonly (readonly PendingRequest[])[]; } {
        const requestsByWorkspace = new Map<string, PendingRequest[]>();
        let bytes = maxEmptyMessageBytes + byteLength(this.#options.name);
        const tryReserve = (rule: LimitRule): boolean => {
            const size = byteLength(rule.workspace) + maxEntryBytes;
            if (
                requestsByWorkspace.size > 0
                && (bytes + size > maxMessageBytes || requestsByWorkspace.size >= maxMessageEntries)
            ) {
                return false;
            }
            bytes += size;
            return true;
        };
        let count = 0;
        for (const request of requests) {
            const { workspace } = request.rule;
            const same = requestsByWorkspace.get(workspace);
            if (same === undefined && !tryReserve(request.rule)) {
                break;
            }
            count++;
            requestsByWorkspace.set(workspace, [...same ?? [], request]);
        }
        requests.splice(0, count);
        for (const { rule } of this.#givenBackTokens.values()) {
            if (!requestsByWorkspace.has(rule.workspace)) {
                if (!tryReserve(rule)) {
                    break;
                }
                requestsByWorkspace.set(rule.workspace, []);
            }
        }
        const entries = [...requestsByWorkspace].map(([workspace, same]) => this.#createEntry(workspace, same));
        return { entries, taken: [...requestsByWorkspace.values()] };
    }

    #createEntry(workspace: string, requests: readonly PendingRequest[]): LimitRequestEntry {
        const givenBack = this.#givenBackTokens.get(workspace);
        this.#givenBackTokens.delete(workspace);
        const rules = requests.map(({ rule }) => rule);
        const first = rules[0] ?? givenBack?.rule;
        const rule = rules.reduce((a, b) => b.configVersion > (a?.configVersion ?? -Infinity) ? b : a, first);
        const { perSecond = 1, burst = 0, configVersion = 0 } = rule ?? {};
        return {
            workspace,
            perSecond,
            burst,
            configVersion,
            wanted: requests.length,
            givenBack: givenBack?.count ?? 0,
        };
    }
}

/**
 * Maximum sizes as JSON: of a message's fixed fields with two incarnations, and of one entry without the workspace's
 * name.
 */
const maxEmptyMessageBytes = 300;
const maxEntryBytes = 130;

function byteLength(text: string): number {
    return Buffer.byteLength(JSON.stringify(text));
}
