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

interface PendingRequest {
    readonly res: ServerResponse;
    readonly afterRevision: number;
    timer: NodeJS.Timeout;
    /** Whether its timeout has been shortened because the store was lost. */
    hasShortTimeout: boolean;
}

const emptyBody = "";
/** Time that a gateway has to reach the store before it responds that it doesn't, in milliseconds. */
const storeContactTimeoutMs = 200;

/** Serves other gateways' requests for changes: at once if there are any, otherwise as a long poll. */
export class RelayServer {
    readonly #feed: RelayFeed;
    readonly #pending = new Set<PendingRequest>();
    #stopped = false;

    constructor(feed: RelayFeed) {
        this.#feed = feed;
    }

    /** Completes waiting requests after changes arrived, or the store was lost or reached again. */
    onFeedChange(): void {
        for (const pending of [...this.#pending]) {
            this.#respondIfDue(pending, false);
        }
    }

    /** Responds to all requests with `unavailable`, so that no peer waits for a process that is about to exit. */
    stop(): void {
        this.#stopped = true;
        this.onFeedChange();
    }

    /** Serves one request of another gateway. */
    handle(req: IncomingMessage, res: ServerResponse): void {
        const [path, query] = (req.url ?? "/").split("?");
        if (path === contactPath) {
            this.#sendContact(res);
            return;
        }
        const params = new URLSearchParams(query);
        const afterRevision = Number(params.get(relayParams.after) ?? Number.NaN);
        const waitMs = Number(params.get(relayParams.wait) ?? Number.NaN);
        if (path !== relayPath || !Number.isFinite(afterRevision) || !(waitMs >= 0)) {
            send(res, relayStatus.badRequest, emptyBody);
            return;
        }
        this.#feed.onPeerRequest(afterRevision);
        const timeoutMs = this.#feed.isStoreReachable ? Math.min(waitMs, relayLongPollMs) : storeContactTimeoutMs;
        const pending: PendingRequest = {
            res,
            afterRevision,
            timer: setTimeout(() => this.#respondIfDue(pending, true), timeoutMs),
            hasShortTimeout: !this.#feed.isStoreReachable,
        };
        this.#pending.add(pending);
        res.once("close", () => this.#remove(pending));
        this.#respondIfDue(pending, false);
    }

    /** Serves what this gateway already knows: the request must not make it call the store. */
    #sendContact(res: ServerResponse): void {
        const { heardForMs } = this.#feed;
        if (heardForMs === undefined) {
            send(res, relayStatus.unavailable, emptyBody);
            return;
        }
        send(res, relayStatus.ok, JSON.stringify({ heardForMs }));
    }

    #respondIfDue(pending: PendingRequest, isTimedOut: boolean): void {
        const { isStoreReachable, ageMs, currentAgeMs, heardForMs } = this.#feed;
        if (this.#stopped || (!isStoreReachable && isTimedOut)) {
            this.#respond(pending, relayStatus.unavailable, emptyBody);
            return;
        }
        if (!isStoreReachable) {
            this.#shortenTimeout(pending);
            return;
        }
        if (this.#feed.isReceivingLargeChange) {
            this.#respond(pending, relayStatus.tooLarge, emptyBody);
            return;
        }
        const changes = this.#feed.changesSince(pending.afterRevision);
        if (changes === undefined) {
            this.#respond(pending, relayStatus.gone, emptyBody);
            return;
        }
        if (isTimedOut || changes.changed.length + changes.deleted.length > 0) {
            const response: RelayResponse = { ...changes, ageMs, currentAgeMs, heardForMs };
            const body = isTooLarge(changes) ? undefined : JSON.stringify(response);
            this.#respond(pending, body === undefined ? relayStatus.tooLarge : relayStatus.ok, body ?? emptyBody);
        }
    }

    /** Leaves waiting requests a short time in which the store may be reached again, before they get a response. */
    #shortenTimeout(pending: PendingRequest): void {
        if (!pending.hasShortTimeout) {
            pending.hasShortTimeout = true;
            clearTimeout(pending.timer);
            pending.timer = setTimeout(() => this.#respondIfDue(pending, true), storeContactTimeoutMs);
        }
    }

    #respond(pending: PendingRequest, status: number, body: string): void {
        this.#remove(pending);
        send(pending.res, status, body);
    }

    #remove(pending: PendingRequest): void {
        clearTimeout(pending.timer);
        this.#pending.delete(pending);
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
