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

/** A message under way, and the requests that each of its entries asks for. */
interface SentMessage {
    readonly message: LimitRequestMessage;
    readonly requests: readonly (readonly PendingRequest[])[];
    readonly firstMs: number;
}

/** What is the same in all messages of a link. */
export interface AllocatorSessionOptions {
    readonly allocator: string;
    readonly name: string;
    readonly incarnation: string;
    readonly group: number;
    /** Numbers that rise over all links of the process: a link that is made anew must not repeat one. */
    readonly nextSeq: () => number;
}

/** The entries of an answer with the requests that they decide. */
export type DecidedEntry = LimitResponseMessage["entries"][number] & { readonly requests: readonly PendingRequest[]; };

/** One host's conversation with one allocator of one group: at most one message is under way. */
export class AllocatorSession {
    /** Until when the allocator may count this host's share, by this host's clock. */
    shareLeaseEndMs = -Infinity;
    /** The share was taken back and the allocator hasn't confirmed it. */
    isReleasing = false;
    readonly #options: AllocatorSessionOptions;
    #echo: { readonly life: string; readonly atMs: number; } | undefined;
    #echoReceivedMs = -Infinity;
    #sent: SentMessage | undefined;
    /** Latest message with a share and an echo of the allocator's present life, or without. */
    #sentShare = 0;
    #sentMs = -Infinity;
    #unansweredSinceMs: number | undefined;
    #wasPutOff = false;
    readonly #givenBack = new Map<string, { readonly rule: LimitRule; readonly count: number; }>();

    constructor(options: AllocatorSessionOptions) {
        this.#options = options;
    }

    get allocator(): string {
        return this.#options.allocator;
    }

    /** Whether the allocator has answered, so that tokens can be asked for. */
    get hasResponded(): boolean {
        return this.#echo !== undefined;
    }

    /** Share that the allocator has been told with its own time. */
    get delegatedShare(): number {
        return this.#sentShare;
    }

    /** When a message was last sent. */
    get lastSentAtMs(): number {
        return this.#sentMs;
    }

    get hasMessageInFlight(): boolean {
        return this.#sent !== undefined;
    }

    /** Whether tokens have been asked for and not answered. */
    get isAwaitingTokens(): boolean {
        return this.#sent !== undefined && this.#sent.requests.some(requests => requests.length > 0);
    }

    /** When the allocator has to be given up, if nothing comes. */
    get timeoutAtMs(): number {
        return (this.#unansweredSinceMs ?? Infinity) + allocatorTimeoutMs;
    }

    /** @returns whether the allocator has to be given up */
    isTimedOut(nowMs: number): boolean {
        if (nowMs < this.timeoutAtMs) {
            return false;
        }
        // Where this host itself stood still, the answer may wait in its socket: one more retransmission time lets it be read.
        if (!this.#wasPutOff && nowMs - this.timeoutAtMs > lateTickThresholdMs) {
            this.#wasPutOff = true;
            this.#unansweredSinceMs = nowMs - allocatorTimeoutMs + retransmitPeriodMs;
            return false;
        }
        return true;
    }

    /** The allocator is the current one from now on: what it left unanswered before doesn't count against it. */
    activate(nowMs: number): void {
        this.isReleasing = false;
        this.#wasPutOff = false;
        this.#unansweredSinceMs = this.#sent === undefined ? undefined : nowMs;
    }

    /** @returns requests that were asked for and are not answered */
    unansweredRequests(): readonly PendingRequest[] {
        return this.#sent?.requests.flat() ?? [];
    }

    /** A token comes back unused; the next message tells it. */
    giveBack(rule: LimitRule, count: number): void {
        const before = this.#givenBack.get(rule.workspace)?.count ?? 0;
        this.#givenBack.set(rule.workspace, { rule, count: before + count });
    }

    /**
     * @param share - delegated from now on
     * @param requests - taken from its front, as many as a message holds
     * @returns a new message; the one before is no longer waited for
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
        this.#sent = { message, requests: taken, firstMs: nowMs };
        this.#sentMs = nowMs;
        this.#unansweredSinceMs ??= nowMs;
        this.#sentShare = this.#echo === undefined ? 0 : share;
        if (this.#sentShare > 0) {
            this.shareLeaseEndMs = Math.max(this.shareLeaseEndMs, this.#echoReceivedMs + leaseMs + leaseMarginMs);
        }
        return message;
    }

    /** @returns the message under way, to be sent again */
    retransmit(nowMs: number): LimitRequestMessage | undefined {
        this.#sentMs = nowMs;
        return this.#sent?.message;
    }

    /** @returns what an answer decides; `undefined` where it answers nothing that is waited for */
    onResponse(answer: LimitResponseMessage, nowMs: number): readonly DecidedEntry[] | undefined {
        const sent = this.#sent;
        if (answer.leaving === true) {
            return this.#onLeaving(answer);
        }
        if (sent === undefined || answer.seq !== sent.message.seq || answer.entries.length !== sent.requests.length) {
            return undefined;
        }
        this.#sent = undefined;
        this.#unansweredSinceMs = undefined;
        this.#wasPutOff = false;
        const isNewLife = this.#echo !== undefined && this.#echo.life !== answer.life;
        if (isNewLife || sent.message.share === 0) {
            // The allocator has dropped what it held for its life before, or has confirmed that it holds nothing.
            this.shareLeaseEndMs = -Infinity;
            this.#sentShare = 0;
        }
        this.#echo = { life: answer.life, atMs: answer.atMs };
        this.#echoReceivedMs = nowMs;
        return answer.entries.map((entry, i) => ({ ...entry, requests: sent.requests[i] ?? [] }));
    }

    #onLeaving(answer: LimitResponseMessage): readonly DecidedEntry[] | undefined {
        if (this.#echo !== undefined && answer.life !== this.#echo.life) {
            return undefined;
        }
        this.shareLeaseEndMs = -Infinity;
        this.#sentShare = 0;
        this.#sent = undefined;
        this.#echo = undefined;
        return [];
    }

    #createEntries(
        requests: PendingRequest[],
    ): { readonly entries: LimitRequestEntry[]; readonly taken: readonly (readonly PendingRequest[])[]; } {
        const wanted = new Map<string, PendingRequest[]>();
        let bytes = emptyMessageBytes + byteLength(this.#options.name);
        const fits = (rule: LimitRule): boolean => {
            const size = byteLength(rule.workspace) + entryBytes;
            if (wanted.size > 0 && (bytes + size > maxMessageBytes || wanted.size >= maxMessageEntries)) {
                return false;
            }
            bytes += size;
            return true;
        };
        let count = 0;
        for (const request of requests) {
            const { workspace } = request.rule;
            const same = wanted.get(workspace);
            if (same === undefined && !fits(request.rule)) {
                break;
            }
            count++;
            wanted.set(workspace, [...same ?? [], request]);
        }
        requests.splice(0, count);
        for (const { rule } of this.#givenBack.values()) {
            if (!wanted.has(rule.workspace)) {
                if (!fits(rule)) {
                    break;
                }
                wanted.set(rule.workspace, []);
            }
        }
        const entries = [...wanted].map(([workspace, same]) => this.#createEntry(workspace, same));
        return { entries, taken: [...wanted.values()] };
    }

    #createEntry(workspace: string, requests: readonly PendingRequest[]): LimitRequestEntry {
        const back = this.#givenBack.get(workspace);
        this.#givenBack.delete(workspace);
        const rules = requests.map(({ rule }) => rule);
        const first = rules[0] ?? back?.rule;
        const rule = rules.reduce((a, b) => b.configVersion > (a?.configVersion ?? -Infinity) ? b : a, first);
        const { perSecond = 1, burst = 0, configVersion = 0 } = rule ?? {};
        return { workspace, perSecond, burst, configVersion, wanted: requests.length, givenBack: back?.count ?? 0 };
    }
}

/** Sizes as JSON, with numbers at their longest; the protocol's own fields and two lives. */
const emptyMessageBytes = 300;
const entryBytes = 130;

function byteLength(text: string): number {
    return Buffer.byteLength(JSON.stringify(text));
}
