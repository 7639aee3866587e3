import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from "hdr-histogram-js";
import * as z from "zod";
import { type RequestOutcome } from "./classifyResponse.js";

/** Resolution of the histograms: hundredths of a millisecond. */
const unitsPerMs = 100;
const maxLatencyMs = 600_000;

const counts = z.object({
    sent: z.number(),
    whole: z.number(),
    /** Complete responses within the caller's patience, measured from the scheduled time. */
    withinPatience: z.number(),
    refused: z.number(),
    /** Error responses whose metadata says that the request did not run. */
    refusedDidNotRun: z.number(),
    wrong: z.number(),
    cutOff: z.number(),
    gaveUp: z.number(),
    notSent: z.number(),
});

/** Outcomes of the requests of one service and kind of caller. */
export type OutcomeCounts = z.output<typeof counts>;

const kindTallySchema = z.object({
    counts,
    /** Latency of complete and timed-out requests, from the scheduled time; an HDR histogram in base64. */
    latency: z.string(),
    /** Time from the scheduled time to an error response; an HDR histogram in base64. */
    refusal: z.string(),
});

/** Schema of the results of one caller, by `service/callerKind`. */
export const tallySchema = z.record(z.string(), kindTallySchema);

/** The results of one caller, by `service/callerKind`. */
export type TallyDocument = z.output<typeof tallySchema>;

interface KindTally {
    readonly counts: { -readonly [K in keyof OutcomeCounts]: number; };
    readonly latency: Histogram;
    readonly refusal: Histogram;
}

/** Percentiles in milliseconds. */
export interface Percentiles {
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
    readonly max: number;
    readonly count: number;
}

/** Counts outcomes and latencies by service and kind of caller. */
export class OutcomeTally {
    readonly #kinds = new Map<string, KindTally>();

    /** @returns the sum of the results of several callers */
    static merge(documents: readonly TallyDocument[]): OutcomeTally {
        const tally = new OutcomeTally();
        for (const document of documents) {
            for (const [name, written] of Object.entries(document)) {
                const kind = tally.#getKind(name);
                for (const key of Object.keys(kind.counts) as (keyof OutcomeCounts)[]) {
                    kind.counts[key] += written.counts[key];
                }
                kind.latency.add(decodeFromCompressedBase64(written.latency));
                kind.refusal.add(decodeFromCompressedBase64(written.refusal));
            }
        }
        return tally;
    }

    get kinds(): readonly string[] {
        return [...this.#kinds.keys()].sort();
    }

    /** @param tookMs - time from the scheduled time to the end of the request */
    add(name: string, outcome: RequestOutcome, tookMs: number, patienceMs: number): void {
        const kind = this.#getKind(name);
        kind.counts.sent++;
        kind.counts[outcome.type]++;
        const units = Math.round(Math.min(tookMs, maxLatencyMs) * unitsPerMs);
        switch (outcome.type) {
            case "whole":
                kind.latency.recordValue(units);
                if (tookMs <= patienceMs) {
                    kind.counts.withinPatience++;
                }
                return;
            case "gaveUp":
                // A lower bound of the latency. Omitting these would favor the variant that loses the most requests.
                kind.latency.recordValue(units);
                return;
            case "refused":
                kind.refusal.recordValue(units);
                if (outcome.didRun === "no") {
                    kind.counts.refusedDidNotRun++;
                }
                return;
            default:
        }
    }

    /** @returns counts of one kind; all zero if no request of that kind was made */
    getCounts(name: string): OutcomeCounts {
        return { ...this.#getKind(name).counts };
    }

    /** @returns latency of one kind, over complete and timed-out requests */
    getLatency(name: string): Percentiles {
        return computePercentiles(this.#getKind(name).latency);
    }

    /** @returns time to an error response of one kind */
    getRefusalLatency(name: string): Percentiles {
        return computePercentiles(this.#getKind(name).refusal);
    }

    toDocument(): TallyDocument {
        const document: TallyDocument = {};
        for (const [name, kind] of this.#kinds) {
            document[name] = {
                counts: kind.counts,
                latency: encodeIntoCompressedBase64(kind.latency),
                refusal: encodeIntoCompressedBase64(kind.refusal),
            };
        }
        return document;
    }

    #getKind(name: string): KindTally {
        let kind = this.#kinds.get(name);
        if (kind === undefined) {
            kind = {
                counts: {
                    sent: 0,
                    whole: 0,
                    withinPatience: 0,
                    refused: 0,
                    refusedDidNotRun: 0,
                    wrong: 0,
                    cutOff: 0,
                    gaveUp: 0,
                    notSent: 0,
                },
                latency: createHistogram(),
                refusal: createHistogram(),
            };
            this.#kinds.set(name, kind);
        }
        return kind;
    }
}

function createHistogram(): Histogram {
    return build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxLatencyMs * unitsPerMs,
        numberOfSignificantValueDigits: 3,
        bitBucketSize: 32,
    });
}

function computePercentiles(histogram: Histogram): Percentiles {
    const valueAt = (percentile: number): number => histogram.getValueAtPercentile(percentile) / unitsPerMs;
    return {
        p50: valueAt(50),
        p99: valueAt(99),
        p999: valueAt(99.9),
        max: histogram.maxValue / unitsPerMs,
        count: histogram.totalCount,
    };
}
