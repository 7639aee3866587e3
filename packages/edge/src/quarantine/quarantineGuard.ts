import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type SendEnd } from "@galenaglade/placement";
import { singleSendStrikeThreshold, type ContentStatus } from "@galenaglade/quarantine";
import { type ServerLiveness } from "../backends/serverLivenessChecker.js";
import { type LazyContentId } from "../requests/lazyContentId.js";
import { type CrashReportSync } from "./crashReportSync.js";

const firstErrorStatus = 500;

/** Keeps one request from servers where requests with its content have ended servers before, and reports what comes of its sends. */
export class QuarantineGuard {
    readonly #reports: CrashReportSync;
    readonly #content: LazyContentId;
    #endTrial: (() => void) | undefined;

    constructor(reports: CrashReportSync, content: LazyContentId) {
        this.#reports = reports;
        this.#content = content;
    }

    /** Decides over the whole request. @returns whether it may be sent at all */
    admit(): boolean {
        const verdict = this.#judge();
        if (verdict?.state === "trial") {
            this.#endTrial = this.#reports.beginTrial(this.#content.contentId);
        }
        return verdict?.state !== "quarantined";
    }

    /** @returns whether it may be sent at this moment */
    maySend(): boolean {
        return this.#endTrial !== undefined || this.#judge()?.state !== "quarantined";
    }

    /** @returns whether it may be sent to one more server after another one was lost with it */
    mayRetry(): boolean {
        return this.#endTrial === undefined && (this.#judge()?.strikes ?? 0) < singleSendStrikeThreshold;
    }

    /** @returns whether it may be sent to a second server beside the first */
    mayHedge(): boolean {
        return this.#judge() === undefined;
    }

    /** @returns when the caller may come back, where the request is kept from servers; in milliseconds */
    get retryAfterMs(): number | undefined {
        const verdict = this.#judge();
        return verdict?.state === "quarantined" || verdict?.state === "trial" ? verdict.retryAfterMs : undefined;
    }

    /** @returns whether what became of a lost server decides over the next send */
    get mustAwaitLivenessCheck(): boolean {
        return (this.#judge()?.strikes ?? 0) + 1 >= singleSendStrikeThreshold;
    }

    /** What is known as a send begins. */
    ledgerVersion(): number {
        return this.#reports.ledgerVersion();
    }

    onSendEnded(end: SendEnd, mark: number): void {
        if (end.type === "answered" && end.status < firstErrorStatus && this.#isKnown()) {
            this.#reports.onServed(this.#content.contentId, mark);
        }
    }

    /** A server lost the request. @param state - what became of the server */
    onServerLost({ id, startedAtEpochMs }: RegisteredServer, state: ServerLiveness, mark: number): void {
        if (state === "ended") {
            this.#reports.onCrash({
                contentId: this.#content.contentId,
                incarnation: `${id}@${startedAtEpochMs ?? ""}`,
                ledgerVersion: mark,
                trial: this.#endTrial !== undefined,
            });
        }
    }

    /** The request has ended. */
    close(): void {
        this.#endTrial?.();
    }

    #isKnown(): boolean {
        return this.#reports.mayHaveRecord(this.#content);
    }

    #judge(): ContentStatus | undefined {
        if (!this.#isKnown()) {
            return undefined;
        }
        const verdict = this.#reports.checkContent(this.#content.contentId);
        return verdict.state === "clear" ? undefined : verdict;
    }
}
