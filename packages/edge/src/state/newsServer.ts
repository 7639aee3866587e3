import { type MirroredChanges } from "@galenaglade/fleet-state";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { newsWaitMs } from "../constants.js";
import { type NewsAnswer, newsPath, newsQuery, newsStatus } from "./newsMessages.js";

/** What a gateway tells of the store. */
export abstract class NewsTeller {
    /** Whether this gateway reads the store itself now, and reaches it. */
    abstract readonly reachesStore: boolean;
    /** How long ago the store was heard. */
    abstract readonly ageMs: number;
    /** Another gateway asks: from now on this one should read the store itself. */
    abstract onAsked(): void;
    /** @returns what changed, or `undefined` where that is not known any more */
    abstract changesSince(afterRevision: number): MirroredChanges | undefined;
}

interface Waiting {
    readonly res: ServerResponse;
    readonly afterRevision: number;
    readonly timer: NodeJS.Timeout;
}

const noBody = "";
/** Time for a gateway that is asked for the first time to hear of the store itself, in milliseconds. */
const firstAnswerMs = 200;

/** Answers other gateways' questions for news, at once where there are some and otherwise when they come. */
export class NewsServer {
    readonly #teller: NewsTeller;
    readonly #waiting = new Set<Waiting>();
    #stopped = false;

    constructor(teller: NewsTeller) {
        this.#teller = teller;
    }

    /** @returns a server that doesn't listen yet */
    createServer(): Server {
        return createServer({ maxHeaderSize: 4_096 }, (req, res) => this.#handle(req, res));
    }

    /** Something that is told has changed: news came, or the store was lost or found. */
    onChange(): void {
        for (const waiting of [...this.#waiting]) {
            this.#answerIfDue(waiting, false);
        }
    }

    /** Sends everyone elsewhere, so that nobody waits for a process that is about to end. */
    stop(): void {
        this.#stopped = true;
        this.onChange();
    }

    #handle(req: IncomingMessage, res: ServerResponse): void {
        const url = new URL(req.url ?? "/", "http://gateway");
        const afterRevision = Number(url.searchParams.get(newsQuery.after) ?? Number.NaN);
        const waitMs = Number(url.searchParams.get(newsQuery.wait) ?? Number.NaN);
        if (url.pathname !== newsPath || !Number.isFinite(afterRevision) || !(waitMs >= 0)) {
            send(res, newsStatus.malformed, noBody);
            return;
        }
        this.#teller.onAsked();
        const untilMs = this.#teller.reachesStore ? Math.min(waitMs, newsWaitMs) : firstAnswerMs;
        const waiting: Waiting = {
            res,
            afterRevision,
            timer: setTimeout(() => this.#answerIfDue(waiting, true), untilMs),
        };
        this.#waiting.add(waiting);
        res.once("close", () => this.#forget(waiting));
        this.#answerIfDue(waiting, false);
    }

    #answerIfDue(waiting: Waiting, timeIsOver: boolean): void {
        const { reachesStore, ageMs } = this.#teller;
        if (this.#stopped || (!reachesStore && timeIsOver)) {
            this.#answer(waiting, newsStatus.away, noBody);
            return;
        }
        if (!reachesStore) {
            return;
        }
        const news = this.#teller.changesSince(waiting.afterRevision);
        if (news === undefined) {
            this.#answer(waiting, newsStatus.forgotten, noBody);
            return;
        }
        if (timeIsOver || news.changed.length + news.deleted.length > 0) {
            this.#answer(waiting, newsStatus.told, JSON.stringify({ ...news, ageMs } satisfies NewsAnswer));
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

function send(res: ServerResponse, status: number, body: string): void {
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    res.end(body);
}
