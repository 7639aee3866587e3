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
    readonly #deps: CrashReportSyncDeps;
    readonly #ledger: CrashLedger;
    #isRestored = false;
    #seenReportsVersion = 0;
    #writing = false;
    #isDirty = false;
    #stopped = false;
    /** Revision of this gateway's report in the store. */
    #revision = 0;
    /** Store term in which the report was last written or read. */
    #term = 0;

    constructor(deps: CrashReportSyncDeps) {
        this.#deps = deps;
        this.#ledger = new CrashLedger(deps.name, deps.trialAfterMs);
    }

    /** Called when the fleet view has changed. */
    onChange(): void {
        const { view, name, clock } = this.#deps;
        const reports = view.crashReports;
        if (view.term !== this.#term) {
            this.#term = view.term;
            this.#publishAgain();
        }
        if (view.crashReportsVersion === this.#seenReportsVersion) {
            return;
        }
        this.#seenReportsVersion = view.crashReportsVersion;
        const own = reports.get(name);
        if (own !== undefined && !this.#isRestored) {
            this.#ledger.restore(own.report, clock.epochMs());
        }
        this.#isRestored = true;
        this.#revision = Math.max(this.#revision, own?.revision ?? 0);
        const mustPublish = this.#ledger.onReports(reports, clock.epochMs());
        this.#logChanges();
        if (mustPublish) {
            this.#publish();
        }
    }

    stop(): void {
        this.#stopped = true;
    }

    /** Publishes again after the store was restored from a backup, which may lack this gateway's report. */
    #publishAgain(): void {
        if (this.#revision > 0) {
            setTimeout(() => this.#publish(), rewriteSpreadMs * this.#deps.random.next()).unref();
        }
    }

    /** @returns the ledger's present version, to be passed back with the end of a send that begins now */
    ledgerVersion(): number {
        return this.#ledger.version();
    }

    /** @returns whether crashes may be recorded for a request's content; compares the head only */
    mayHaveRecord(content: LazyContentId): boolean {
        return !this.#ledger.isEmpty && this.#ledger.mayHaveRecord(content.headId);
    }

    /** @returns whether requests with this content may be sent now */
    checkContent(contentId: string): ContentStatus {
        const { view, clock } = this.#deps;
        return this.#ledger.checkContent(contentId, {
            gateways: view.gatewayNames(clock.monotonicMs()),
            epochMs: clock.epochMs(),
        });
    }

    /** Begins the trial of a quarantined request on one server. @returns function that ends the trial */
    beginTrial(contentId: string): () => void {
        this.#deps.log.log("info", "quarantineTrial", { contentId });
        return this.#ledger.beginTrial(contentId);
    }

    /** Records that a server crashed while it ran a request. */
    onCrash(crash: Omit<Crash, "epochMs">): void {
        const changed = this.#ledger.onCrash({ ...crash, epochMs: this.#deps.clock.epochMs() });
        this.#logChanges();
        if (changed) {
            this.#publish();
        }
    }

    /** Records that a server served a request with crashes on record. */
    onServed(contentId: string, ledgerVersion: number): void {
        const mustPublish = this.#ledger.onServed(contentId, ledgerVersion, this.#deps.clock.epochMs());
        this.#logChanges();
        if (mustPublish) {
            this.#publish();
        }
    }

    #publish(): void {
        this.#isDirty = true;
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
        while (this.#isDirty && !this.#stopped) {
            this.#isDirty = false;
            if (await this.#write()) {
                failures = 0;
                continue;
            }
            this.#isDirty = true;
            const maxDelayMs = Math.min(maxStoreBackoffMs, initialStoreBackoffMs * 2 ** failures);
            failures++;
            await sleep(maxDelayMs * (1 + this.#deps.random.next()) / 2);
        }
    }

    async #write(): Promise<boolean> {
        const { store, codec, name, log, metrics } = this.#deps;
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
                this.#isRestored = true;
                metrics.onStoreCall("crashReport", outcome.swapped ? "answered" : "conflict");
                this.#revision = outcome.swapped ? outcome.revision : outcome.current?.modifiedRevision ?? 0;
                return outcome.swapped;
            },
        });
    }

    #logChanges(): void {
        const { log, metrics, view, clock } = this.#deps;
        for (const { contentId, state, strikes, generations } of this.#ledger.takeChanges()) {
            const sinceStoreMs = Math.round(clock.monotonicMs() - view.lastStoreContactMs);
            log.log("warn", "contentJudged", { contentId, state, strikes, generations, sinceStoreMs });
            metrics.onContentStateChanged(state);
        }
    }
}
