import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import { type LogFields } from "@galenaglade/telemetry";
import { watchCheckTimeoutMs, maxWatchLagMs } from "../constants.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type StoreContact } from "./storeContact.js";
import { type RevisionReader } from "./revisionReader.js";

/** A gateway's watch of the store. */
export interface WatchState {
    /** Up to which the store's changes are known; `undefined` before the first reading. */
    readonly afterRevision: number | undefined;
    /** When the watch that waits now was sent; `undefined` while none does. */
    readonly sentAtMs: number | undefined;
}

/** What a check works with. */
export interface WatchCheckDeps {
    readonly revisionReader: RevisionReader;
    readonly contact: StoreContact;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly metrics: EdgeMetrics;
    readonly state: () => WatchState;
}

/**
 * Checks that the store is still reached, and that a watch brings what has changed. A watch whose connection has gone silent, or
 * whose answer was lost, looks like one of a store in which nothing changes.
 */
export class WatchCheck {
    readonly #parts: WatchCheckDeps;

    constructor(parts: WatchCheckDeps) {
        this.#parts = parts;
    }

    /** @returns what speaks against the watch, for the log; `undefined` where nothing does */
    async run(): Promise<LogFields | undefined> {
        const { revisionReader, contact, view, clock, metrics } = this.#parts;
        const startedAtMs = clock.monotonicMs();
        const peeked = await revisionReader.read(watchCheckTimeoutMs);
        return await peeked.caseOf<Promise<LogFields | undefined> | LogFields | undefined>({
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
                return this.#awaitChange(revision, startedAtMs);
            },
        });
    }

    /** The store has a revision; a watch that was sent before the check and doesn't bring it is dead. */
    async #awaitChange(revision: number, checkedAtMs: number): Promise<LogFields | undefined> {
        const { state, clock } = this.#parts;
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
