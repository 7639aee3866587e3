import { type FleetView, renderCrashReport } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import { type KeyValueStore } from "@galenaglade/platform";
import { type Crash, CrashLedger, type ContentStatus } from "@galenaglade/quarantine";
import { type RandomSource } from "@galenaglade/routing";
import { initialStoreBackoffMs, maxStoreBackoffMs, rewriteSpreadMs } from "../constants.js";
import { type LazyContentId } from "../requests/lazyContentId.js";
import { type StateCodec } from "../stateCodec.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";

/** Dependencies of a {@link CrashReportSync}. */
export interface CrashReportSyncDeps {
    /** Name of this gateway, as registered. */
    readonly name: string;
    /** Delay of each trial of a quarantined request after its latest strike, in milliseconds. */
    readonly trialAfterMs: readonly number[];
    readonly view: FleetView;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** Synchronizes the ledger of crashes with the store: publishes this gateway's report and reads the others'. */
export class CrashReportSync {
    readonly #parts: CrashReportSyncDeps;
    readonly #ledger: CrashLedger;
    #adopted = false;
    #changesSeen = 0;
    #writing = false;
    #mustWrite = false;
    #stopped = false;
    /** Revision of this gateway's report in the store. */
    #revision = 0;
    /** Store term in which the report was last written or read. */
    #term = 0;

    constructor(parts: CrashReportSyncDeps) {
        this.#parts = parts;
        this.#ledger = new CrashLedger(parts.name, parts.trialAfterMs);
    }

    /** Called when the fleet view has changed. */
    onChange(): void {
        const { view, name, clock } = this.#parts;
        const reports = view.crashReports;
        if (view.term !== this.#term) {
            this.#term = view.term;
            this.#writeAgain();
        }
        if (view.crashReportsVersion === this.#changesSeen) {
            return;
        }
        this.#changesSeen = view.crashReportsVersion;
        const own = reports.get(name);
        if (own !== undefined && !this.#adopted) {
            this.#ledger.restore(own.report, clock.epochMs());
        }
        this.#adopted = true;
        this.#revision = Math.max(this.#revision, own?.revision ?? 0);
        const mustTell = this.#ledger.onReports(reports, clock.epochMs());
        this.#logChanges();
        if (mustTell) {
            this.#publish();
        }
    }

    stop(): void {
        this.#stopped = true;
    }

    /** Publishes again after the store was restored from an older copy, which may lack this gateway's report. */
    #writeAgain(): void {
        if (this.#revision > 0) {
            setTimeout(() => this.#publish(), rewriteSpreadMs * this.#parts.random.next()).unref();
        }
    }

    /** @returns the ledger's present mark, to be passed back with the end of a send that begins now */
    ledgerVersion(): number {
        return this.#ledger.version();
    }

    /** @returns whether crashes may be recorded for a request's content; compares the head only */
    mayHaveRecord(content: LazyContentId): boolean {
        return !this.#ledger.isEmpty && this.#ledger.mayHaveRecord(content.headId);
    }

    /** @returns whether requests with this content may be sent now */
    checkContent(contentId: string): ContentStatus {
        const { view, clock } = this.#parts;
        return this.#ledger.checkContent(contentId, {
            gateways: view.gatewayNames(clock.monotonicMs()),
            epochMs: clock.epochMs(),
        });
    }

    /** Begins the trial of a quarantined request on one server. @returns function that ends the trial */
    beginTrial(contentId: string): () => void {
        this.#parts.log.log("info", "quarantineTrial", { contentId });
        return this.#ledger.beginTrial(contentId);
    }

    /** Records that a server crashed while it ran a request. */
    onCrash(crash: Omit<Crash, "epochMs">): void {
        const changed = this.#ledger.onCrash({ ...crash, epochMs: this.#parts.clock.epochMs() });
        this.#logChanges();
        if (changed) {
            this.#publish();
        }
    }

    /** Records that a server served a request with crashes on record. */
    onServed(contentId: string, mark: number): void {
        const mustTell = this.#ledger.onServed(contentId, mark, this.#parts.clock.epochMs());
        this.#logChanges();
        if (mustTell) {
            this.#publish();
        }
    }

    #publish(): void {
        this.#mustWrite = true;
        if (!this.#writing) {
            this.#writing = true;
            void this.#writeAll().finally(() => {
                this.#writing = false;
            });
        }
    }

    /** Writes until the store has the newest report, with exponential back-off and jitter after failures. */
    async #writeAll(): Promise<void> {
        let failures = 0;
        while (this.#mustWrite && !this.#stopped) {
            this.#mustWrite = false;
            if (await this.#write()) {
                failures = 0;
                continue;
            }
            this.#mustWrite = true;
            const limitMs = Math.min(maxStoreBackoffMs, initialStoreBackoffMs * 2 ** failures);
            failures++;
            await sleep(limitMs * (1 + this.#parts.random.next()) / 2);
        }
    }

    async #write(): Promise<boolean> {
        const { store, codec, name, log, metrics } = this.#parts;
        const written = await store.compareAndSwap({
            key: codec.crashReportKey(name),
            expectedRevision: this.#revision,
            value: renderCrashReport(this.#ledger.report()),
        });
        return written.caseOf({
            Left: ({ kind, detail }) => {
                metrics.onStoreCall("crashReport", kind);
                log.log("warn", "crashReportFailed", { kind, detail });
                return false;
            },
            Right: outcome => {
                // Reports that are read from the store from now on were written by this process.
                this.#adopted = true;
                metrics.onStoreCall("crashReport", outcome.swapped ? "answered" : "conflict");
                this.#revision = outcome.swapped ? outcome.revision : outcome.current?.modifiedRevision ?? 0;
                return outcome.swapped;
            },
        });
    }

    #logChanges(): void {
        const { log, metrics, view, clock } = this.#parts;
        for (const { contentId, state, strikes, generations } of this.#ledger.takeChanges()) {
            const sinceStoreMs = Math.round(clock.monotonicMs() - view.lastStoreContactMs);
            log.log("warn", "contentJudged", { contentId, state, strikes, generations, sinceStoreMs });
            metrics.onContentStateChanged(state);
        }
    }
}
