import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type SendEnd } from "@galenaglade/placement";
import { singleSendStrikeThreshold, type ContentStatus } from "@galenaglade/quarantine";
import { type ServerLiveness } from "../backends/serverLivenessChecker.js";
import { type LazyContentId } from "../requests/lazyContentId.js";
import { type CrashReportSync } from "./crashReportSync.js";

const firstServerErrorStatus = 500;

/** Keeps a request away from servers if requests with its content have crashed them, and records how its sends end. */
export class QuarantineGuard {
    readonly #crashReports: CrashReportSync;
    readonly #contentId: LazyContentId;
    #endTrial: (() => void) | undefined;

    constructor(crashReports: CrashReportSync, contentId: LazyContentId) {
        this.#crashReports = crashReports;
        this.#contentId = contentId;
    }

    /** Decides once, on arrival. @returns whether the request may be sent at all */
    admit(): boolean {
        const status = this.#currentStatus();
        if (status?.state === "trial") {
            this.#endTrial = this.#crashReports.beginTrial(this.#contentId.contentId);
        }
        return status?.state !== "quarantined";
    }

    /** @returns whether the request may be sent at this moment */
    maySend(): boolean {
        return this.#endTrial !== undefined || this.#currentStatus()?.state !== "quarantined";
    }

    /** @returns whether the request may be sent to one more server after the connection to another was lost */
    mayRetry(): boolean {
        return this.#endTrial === undefined && (this.#currentStatus()?.strikes ?? 0) < singleSendStrikeThreshold;
    }

    /** @returns whether the request may be hedged */
    mayHedge(): boolean {
        return this.#currentStatus() === undefined;
    }

    /** Time after which the caller may retry, in milliseconds, if the request is quarantined or on trial. */
    get retryAfterMs(): number | undefined {
        const status = this.#currentStatus();
        return status?.state === "quarantined" || status?.state === "trial" ? status.retryAfterMs : undefined;
    }

    /** Whether a liveness check has to end before the next send, since one more crash would forbid it. */
    get mustAwaitLivenessCheck(): boolean {
        return (this.#currentStatus()?.strikes ?? 0) + 1 >= singleSendStrikeThreshold;
    }

    /** @returns the crash ledger's version, taken when a send begins */
    ledgerVersion(): number {
        return this.#crashReports.ledgerVersion();
    }

    onSendEnded(end: SendEnd, ledgerVersion: number): void {
        if (end.type === "answered" && end.status < firstServerErrorStatus && this.#mayHaveRecord()) {
            this.#crashReports.onServed(this.#contentId.contentId, ledgerVersion);
        }
    }

    /**
     * Records a crash if the server has ended.
     *
     * @param state - result of the liveness check
     * @param ledgerVersion - the crash ledger's version when the send began
     */
    onServerLost({ id, startedAtEpochMs }: RegisteredServer, state: ServerLiveness, ledgerVersion: number): void {
        if (state === "ended") {
            this.#crashReports.onCrash({
                contentId: this.#contentId.contentId,
                incarnation: `${id}@${startedAtEpochMs ?? ""}`,
                ledgerVersion,
                trial: this.#endTrial !== undefined,
            });
        }
    }

    /** Ends the trial, if there is one, once the request has ended. */
    close(): void {
        this.#endTrial?.();
        this.#endTrial = undefined;
    }

    #mayHaveRecord(): boolean {
        return this.#crashReports.mayHaveRecord(this.#contentId);
    }

    #currentStatus(): ContentStatus | undefined {
        if (!this.#mayHaveRecord()) {
            return undefined;
        }
        const status = this.#crashReports.checkContent(this.#contentId.contentId);
        return status.state === "clear" ? undefined : status;
    }
}
