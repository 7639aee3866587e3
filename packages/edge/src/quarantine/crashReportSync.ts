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

/** What reports on crashes are kept with. */
export interface CrashReportSyncDeps {
    /** Of this gateway, as in its registration. */
    readonly name: string;
    /** How long after its latest strike a quarantined request is tried, for each trial. */
    readonly trialAfterMs: readonly number[];
    readonly view: FleetView;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** Keeps the ledger of requests under which servers ended in step with the store: this gateway's report and the others'. */
export class CrashReportSync {
    readonly #parts: CrashReportSyncDeps;
    readonly #ledger: CrashLedger;
    #adopted = false;
    #changesSeen = 0;
    #writing = false;
    #mustWrite = false;
    #stopped = false;
    /** The revision of this gateway's report in the store. */
    #revision = 0;
    /** The store's term in which it was last written or read. */
    #term = 0;

    constructor(parts: CrashReportSyncDeps) {
        this.#parts = parts;
        this.#ledger = new CrashLedger(parts.name, parts.trialAfterMs);
    }

    /** What is believed of the fleet has changed. */
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

    /** The store came back from an older copy, which may lack this gateway's report. */
    #writeAgain(): void {
        if (this.#revision > 0) {
            setTimeout(() => this.#publish(), rewriteSpreadMs * this.#parts.random.next()).unref();
        }
    }

    /** @returns what is known now */
    ledgerVersion(): number {
        return this.#ledger.version();
    }

    /** @returns whether something is known of a request's content */
    mayHaveRecord(content: LazyContentId): boolean {
        return !this.#ledger.isEmpty && this.#ledger.mayHaveRecord(content.headId);
    }

    /** @returns what may be done with a request now */
    checkContent(contentId: string): ContentStatus {
        const { view, clock } = this.#parts;
        return this.#ledger.checkContent(contentId, {
            gateways: view.gatewayNames(clock.monotonicMs()),
            epochMs: clock.epochMs(),
        });
    }

    /** A quarantined request is sent to one server. @returns called when it has ended */
    beginTrial(contentId: string): () => void {
        this.#parts.log.log("info", "quarantineTrial", { contentId });
        return this.#ledger.beginTrial(contentId);
    }

    /** A server ended under a request. */
    onCrash(crash: Omit<Crash, "epochMs">): void {
        const changed = this.#ledger.onCrash({ ...crash, epochMs: this.#parts.clock.epochMs() });
        this.#logChanges();
        if (changed) {
            this.#publish();
        }
    }

    /** A request of which something is known was served. */
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

    /** Writes until the store has the newest report. */
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
                // What comes back from the store from now on was written in this life.
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
