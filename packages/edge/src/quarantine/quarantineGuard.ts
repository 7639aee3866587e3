import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type SendEnd } from "@galenaglade/placement";
import { singleSendStrikeThreshold, type ContentStatus } from "@galenaglade/quarantine";
import { type ServerLiveness } from "../backends/serverLivenessChecker.js";
import { type LazyContentId } from "../requests/lazyContentId.js";
import { type CrashReportSync } from "./crashReportSync.js";

const firstErrorStatus = 500;

/** Keeps a request away from servers if requests with its content have crashed them, and records how its sends end. */
export class QuarantineGuard {
    readonly #reports: CrashReportSync;
    readonly #content: LazyContentId;
    #endTrial: (() => void) | undefined;

    constructor(reports: CrashReportSync, content: LazyContentId) {
        this.#reports = reports;
        this.#content = content;
    }

    /** Decides once, on arrival. @returns whether the request may be sent at all */
    admit(): boolean {
        const verdict = this.#judge();
        if (verdict?.state === "trial") {
            this.#endTrial = this.#reports.beginTrial(this.#content.contentId);
        }
        return verdict?.state !== "quarantined";
    }

    /** @returns whether the request may be sent at this moment */
    maySend(): boolean {
        return this.#endTrial !== undefined || this.#judge()?.state !== "quarantined";
    }

    /** @returns whether the request may be sent to one more server after the connection to another was lost */
    mayRetry(): boolean {
        return this.#endTrial === undefined && (this.#judge()?.strikes ?? 0) < singleSendStrikeThreshold;
    }

    /** @returns whether the request may be hedged */
    mayHedge(): boolean {
        return this.#judge() === undefined;
    }

    /** Time after which the caller may retry, in milliseconds, if the request is quarantined or on trial. */
    get retryAfterMs(): number | undefined {
        const verdict = this.#judge();
        return verdict?.state === "quarantined" || verdict?.state === "trial" ? verdict.retryAfterMs : undefined;
    }

    /** Whether a liveness check has to end before the next send, since one more crash would forbid it. */
    get mustAwaitLivenessCheck(): boolean {
        return (this.#judge()?.strikes ?? 0) + 1 >= singleSendStrikeThreshold;
    }

    /** @returns the crash ledger's mark, taken when a send begins */
    ledgerVersion(): number {
        return this.#reports.ledgerVersion();
    }

    onSendEnded(end: SendEnd, mark: number): void {
        if (end.type === "answered" && end.status < firstErrorStatus && this.#isKnown()) {
            this.#reports.onServed(this.#content.contentId, mark);
        }
    }

    /**
     * Records a crash if the server has ended.
     *
     * @param state - result of the liveness check
     * @param mark - the crash ledger's mark when the send began
     */
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

    /** Ends the trial, if there is one, once the request has ended. */
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
