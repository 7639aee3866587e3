import { type MirroredChanges } from "@galenaglade/fleet-state";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { maxRelayedChangesBytes, relayLongPollMs } from "../constants.js";
import { contactPath, type RelayResponse, relayPath, relayParams, relayStatus } from "./relayMessages.js";

/** State that a gateway relays to others. */
export abstract class RelayFeed {
    /** Whether this gateway currently watches the store itself, and reaches it. */
    abstract readonly isStoreReachable: boolean;
    /** Time since the last contact with the store, in milliseconds. */
    abstract readonly ageMs: number;
    /** Time since this gateway's state was last known to be up to date, in milliseconds; `undefined` if unknown. */
    abstract readonly currentAgeMs: number | undefined;
    /** Whether changes that are too large to be relayed are being received. */
    abstract readonly isReceivingLargeChange: boolean;
    /** Duration of uninterrupted contact with the store, in milliseconds; `undefined` if unknown. */
    abstract readonly heardForMs: number | undefined;
    /**
     * Another gateway requests changes, so this one has to watch the store itself from now on.
     *
     * @param afterRevision - revision up to which the other gateway has all changes
     */
    abstract onPeerRequest(afterRevision: number): void;
    /** @returns the changes after a revision, or `undefined` if that history is no longer kept */
    abstract changesSince(afterRevision: number): MirroredChanges | undefined;
}

interface Waiting {
    readonly res: ServerResponse;
    readonly afterRevision: number;
    timer: NodeJS.Timeout;
    /** Whether its timeout has been shortened because the store was lost. */
    isShortened: boolean;
}

const noBody = "";
/** Time that a gateway has to reach the store before it responds that it doesn't, in milliseconds. */
const firstAnswerMs = 200;

/** Serves other gateways' requests for changes: at once if there are any, otherwise as a long poll. */
export class RelayServer {
    readonly #teller: RelayFeed;
    readonly #waiting = new Set<Waiting>();
    #stopped = false;

    constructor(teller: RelayFeed) {
        this.#teller = teller;
    }

    /** Completes waiting requests after changes arrived, or the store was lost or reached again. */
    onFeedChange(): void {
        for (const waiting of [...this.#waiting]) {
            this.#answerIfDue(waiting, false);
        }
    }

    /** Responds to all requests with `unavailable`, so that no peer waits for a process that is about to exit. */
    stop(): void {
        this.#stopped = true;
        this.onFeedChange();
    }

    /** Serves one request of another gateway. */
    handle(req: IncomingMessage, res: ServerResponse): void {
        const url = new URL(req.url ?? "/", "http://gateway");
        if (url.pathname === contactPath) {
            this.#tellContact(res);
            return;
        }
        const afterRevision = Number(url.searchParams.get(relayParams.after) ?? Number.NaN);
        const waitMs = Number(url.searchParams.get(relayParams.wait) ?? Number.NaN);
        if (url.pathname !== relayPath || !Number.isFinite(afterRevision) || !(waitMs >= 0)) {
            send(res, relayStatus.badRequest, noBody);
            return;
        }
        this.#teller.onPeerRequest(afterRevision);
        const untilMs = this.#teller.isStoreReachable ? Math.min(waitMs, relayLongPollMs) : firstAnswerMs;
        const waiting: Waiting = {
            res,
            afterRevision,
            timer: setTimeout(() => this.#answerIfDue(waiting, true), untilMs),
            isShortened: !this.#teller.isStoreReachable,
        };
        this.#waiting.add(waiting);
        res.once("close", () => this.#forget(waiting));
        this.#answerIfDue(waiting, false);
    }

    /** Serves what this gateway already knows: the request must not make it call the store. */
    #tellContact(res: ServerResponse): void {
        const { heardForMs } = this.#teller;
        if (heardForMs === undefined) {
            send(res, relayStatus.unavailable, noBody);
            return;
        }
        send(res, relayStatus.ok, JSON.stringify({ heardForMs }));
    }

    #answerIfDue(waiting: Waiting, timeIsOver: boolean): void {
        const { isStoreReachable, ageMs, currentAgeMs, heardForMs } = this.#teller;
        if (this.#stopped || (!isStoreReachable && timeIsOver)) {
            this.#answer(waiting, relayStatus.unavailable, noBody);
            return;
        }
        if (!isStoreReachable) {
            this.#shorten(waiting);
            return;
        }
        if (this.#teller.isReceivingLargeChange) {
            this.#answer(waiting, relayStatus.tooLarge, noBody);
            return;
        }
        const changes = this.#teller.changesSince(waiting.afterRevision);
        if (changes === undefined) {
            this.#answer(waiting, relayStatus.gone, noBody);
            return;
        }
        if (timeIsOver || changes.changed.length + changes.deleted.length > 0) {
            const answer: RelayResponse = { ...changes, ageMs, currentAgeMs, heardForMs };
            const body = isTooLarge(changes) ? undefined : JSON.stringify(answer);
            this.#answer(waiting, body === undefined ? relayStatus.tooLarge : relayStatus.ok, body ?? noBody);
        }
    }

    /** Leaves waiting requests a short time in which the store may be reached again, before they get a response. */
    #shorten(waiting: Waiting): void {
        if (!waiting.isShortened) {
            waiting.isShortened = true;
            clearTimeout(waiting.timer);
            waiting.timer = setTimeout(() => this.#answerIfDue(waiting, true), firstAnswerMs);
        }
    }

    #answer(waiting: Waiting, status: number, body: string): void {
        this.#forget(waiting);
        send(waiting.res, status, body);
    }

    #forget(waiting: Waiting): void {
        clearTimeout(waiting.timer);
        this.#waiting.delete(waiting);
    }
}

function isTooLarge({ changed }: MirroredChanges): boolean {
    let length = 0;
    for (const { key, value } of changed) {
        length += key.length + value.length;
    }
    return length > maxRelayedChangesBytes;
}

function send(res: ServerResponse, status: number, body: string): void {
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    res.end(body);
}
