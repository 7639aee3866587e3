import { type MirroredChanges } from "@galenaglade/fleet-state";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { maxRelayedChangesBytes, relayLongPollMs } from "../constants.js";
import { contactPath, type RelayResponse, relayPath, relayParams, relayStatus } from "./relayMessages.js";

/** What a gateway tells of the store. */
export abstract class RelayFeed {
    /** Whether this gateway reads the store itself now, and reaches it. */
    abstract readonly isStoreReachable: boolean;
    /** How long ago the store was heard. */
    abstract readonly ageMs: number;
    /** How long ago what this gateway holds was the store's whole present state; `undefined` where that isn't known. */
    abstract readonly currentAgeMs: number | undefined;
    /** Whether changes are arriving that are too large to be passed on. */
    abstract readonly isReceivingLargeChange: boolean;
    /** For how long the store has been heard without an outage; `undefined` where that isn't known. */
    abstract readonly heardForMs: number | undefined;
    /**
     * Another gateway asks: from now on this one should read the store itself.
     *
     * @param afterRevision - up to which the other one knows everything
     */
    abstract onPeerRequest(afterRevision: number): void;
    /** @returns what changed, or `undefined` where that is not known any more */
    abstract changesSince(afterRevision: number): MirroredChanges | undefined;
}

interface Waiting {
    readonly res: ServerResponse;
    readonly afterRevision: number;
    timer: NodeJS.Timeout;
    /** Whether its time was cut short since the store was lost. */
    isShortened: boolean;
}

const noBody = "";
/** Time for a gateway that has to hear of the store first, in milliseconds. */
const firstAnswerMs = 200;

/** Answers other gateways' questions for changes, at once where there are some and otherwise when they come. */
export class RelayServer {
    readonly #teller: RelayFeed;
    readonly #waiting = new Set<Waiting>();
    #stopped = false;

    constructor(teller: RelayFeed) {
        this.#teller = teller;
    }

    /** Something that is told has changed: changes came, or the store was lost or found. */
    onFeedChange(): void {
        for (const waiting of [...this.#waiting]) {
            this.#answerIfDue(waiting, false);
        }
    }

    /** Sends everyone elsewhere, so that nobody waits for a process that is about to end. */
    stop(): void {
        this.#stopped = true;
        this.onFeedChange();
    }

    /** Takes one question of another gateway. */
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

    /** Costs no call of the store, whether this gateway reads it itself or not. */
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

    /** Whoever waits as the store is lost hears so after the time in which it would be found again, if it were. */
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
