import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import { type LogFields } from "@galenaglade/telemetry";
import { watchCheckTimeoutMs, maxWatchLagMs } from "../constants.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type StoreContact } from "./storeContact.js";
import { type RevisionReader } from "./revisionReader.js";

/** State of a gateway's watch of the store. */
export interface WatchState {
    /** Revision up to which this gateway has all changes; `undefined` before the first list. */
    readonly afterRevision: number | undefined;
    /** When the pending watch was sent; `undefined` if none is pending. */
    readonly sentAtMs: number | undefined;
}

/** Dependencies of {@link WatchCheck}. */
export interface WatchCheckDeps {
    readonly revisionReader: RevisionReader;
    readonly contact: StoreContact;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly metrics: EdgeMetrics;
    readonly state: () => WatchState;
}

/**
 * Checks that the store is still reachable, and that a watch delivers its changes. A watch whose connection is dead, or
 * whose response was lost, looks the same as a watch of a store without changes.
 */
export class WatchCheck {
    readonly #deps: WatchCheckDeps;

    constructor(deps: WatchCheckDeps) {
        this.#deps = deps;
    }

    /** @returns why the watch may be dead, as log fields; `undefined` if the check found no fault */
    async run(): Promise<LogFields | undefined> {
        const { revisionReader, contact, view, clock, metrics } = this.#deps;
        const startedAtMs = clock.monotonicMs();
        const read = await revisionReader.read(watchCheckTimeoutMs);
        return await read.caseOf<Promise<LogFields | undefined> | LogFields | undefined>({
            Left: ({ kind }) => {
                metrics.onStoreCall("check", kind);
                if (view.lastStoreContactMs > startedAtMs) {
                    return undefined;
                }
                contact.onSuspected(startedAtMs);
                return { kind, tookMs: Math.round(clock.monotonicMs() - startedAtMs) };
            },
            Right: revision => {
                metrics.onStoreCall("check", "answered");
                view.onStoreContact(clock.monotonicMs());
                return this.#awaitRevision(revision, startedAtMs);
            },
        });
    }

    /** Waits for the watch to deliver a revision that the check saw: if sent earlier, it is dead unless it does. */
    async #awaitRevision(revision: number, checkedAtMs: number): Promise<LogFields | undefined> {
        const { state, clock } = this.#deps;
        const { sentAtMs, afterRevision = revision } = state();
        if (sentAtMs === undefined || sentAtMs > checkedAtMs || revision <= afterRevision) {
            return undefined;
        }
        await sleep(maxWatchLagMs);
        const after = state();
        return after.sentAtMs === sentAtMs
            ? {
                kind: "behind",
                revision,
                afterRevision: after.afterRevision,
                waitedMs: Math.round(clock.monotonicMs() - sentAtMs),
            }
            : undefined;
    }
}
