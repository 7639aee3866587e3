import {
    type CrashReport,
    type CrashStrike,
    findOwners,
    maxReportedContents,
    type StoredCrashReport,
} from "@galenaglade/fleet-state";
import { ContentRecord } from "./contentRecord.js";
import { defaultTrialDelaysMs, quarantineRetentionMs } from "./constants.js";

/** What may be done with a request. */
export type ContentState =
    /** Nothing is known against it. */
    | "clear"
    /** Servers have ended under it, too few to tell that it ends them. */
    | "suspected"
    /** It is kept from all servers. */
    | "quarantined"
    /** It is quarantined, and this very request is sent to one server to see whether that must go on. */
    | "trial";

/** What is known of a request's content. */
export interface ContentStatus {
    readonly state: ContentState;
    /** Servers that ended under it. */
    readonly strikes: number;
    /** When a further request with it may be sent, from now, in milliseconds. */
    readonly retryAfterMs: number;
}

/** What a verdict depends on besides the strikes. */
export interface ContentCheckContext {
    /** Gateways that count. */
    readonly gateways: readonly string[];
    readonly epochMs: number;
}

/** A server that ended under a request. */
export interface Crash {
    readonly contentId: string;
    readonly incarnation: string;
    /** What was known when the request was sent. */
    readonly ledgerVersion: number;
    readonly epochMs: number;
    readonly trial: boolean;
}

/** A change of what is believed of a content, for the log. */
export interface ContentStateChange {
    readonly contentId: string;
    readonly state: "clear" | "suspected" | "quarantined";
    readonly strikes: number;
    readonly generations: number;
}

const clearVerdict: ContentStatus = Object.freeze({ state: "clear", strikes: 0, retryAfterMs: 0 });

/**
 * What one gateway knows of requests under which backend servers ended: its own strikes and those that the others report. Every
 * gateway judges by the same reports, so that a request which ends server after server is kept from all of them soon after the third,
 * whoever saw the servers end. A request that is served after its strikes were known clears them.
 */
export class CrashLedger {
    readonly #name: string;
    readonly #trialAfterMs: readonly number[];
    readonly #ownStrikes = new Map<string, CrashStrike>();
    readonly #ownCleared = new Map<string, Set<string>>();
    readonly #trials = new Set<string>();
    /** Contents with strikes that this gateway has cleared and not told. */
    readonly #untold = new Set<string>();
    readonly #changes: ContentStateChange[] = [];
    #others: readonly CrashReport[] = [];
    #records = new Map<string, ContentRecord>();
    #headIds: ReadonlySet<string> = new Set();
    /** Rises with everything that is learnt. */
    #mark = 0;

    /**
     * @param name - of this gateway, as in its registration
     * @param trialAfterMs - how long after its latest strike a quarantined request is tried, for each trial
     */
    constructor(name: string, trialAfterMs: readonly number[] = defaultTrialDelaysMs) {
        this.#name = name;
        this.#trialAfterMs = trialAfterMs;
    }

    /** @returns what is known now, to be given back with the end of a send that begins now */
    version(): number {
        return this.#mark;
    }

    /** Whether nothing is known against any content. */
    get isEmpty(): boolean {
        return this.#records.size === 0;
    }

    /** @returns whether something is known of a content whose id begins so; most requests need no further look */
    mayHaveRecord(headId: string): boolean {
        return this.#headIds.has(headId);
    }

    /** Contents that are quarantined now. */
    get quarantinedCount(): number {
        return [...this.#records.values()].filter(record => record.isQuarantined).length;
    }

    /** @returns what may be done with a request now */
    checkContent(contentId: string, { gateways, epochMs }: ContentCheckContext): ContentStatus {
        const record = this.#records.get(contentId);
        if (record === undefined || epochMs >= record.expiresAtEpochMs) {
            return clearVerdict;
        }
        const { strikes } = record;
        const trialAtEpochMs = record.nextTrialAtEpochMs(this.#trialAfterMs);
        if (!record.isQuarantined) {
            return { state: "suspected", strikes, retryAfterMs: 0 };
        }
        const mayTry = epochMs >= trialAtEpochMs && !this.#trials.has(contentId)
            && findOwners(contentId, gateways, 1)[0] === this.#name;
        const openAtEpochMs = Math.min(trialAtEpochMs, record.expiresAtEpochMs);
        return { state: mayTry ? "trial" : "quarantined", strikes, retryAfterMs: Math.max(0, openAtEpochMs - epochMs) };
    }

    /** A quarantined request is sent to one server. @returns called when it has ended */
    beginTrial(contentId: string): () => void {
        this.#trials.add(contentId);
        return () => this.#trials.delete(contentId);
    }

    /** A server ended under a request of this gateway. @returns whether the others must hear of it */
    onCrash({ contentId, incarnation, ledgerVersion, epochMs, trial }: Crash): boolean {
        const key = createKey(contentId, incarnation);
        if (this.#ownStrikes.has(key)) {
            return false;
        }
        const generation = this.#records.get(contentId)?.generationAt(ledgerVersion) ?? 1;
        this.#ownStrikes.set(key, { contentId, incarnation, generation, atEpochMs: epochMs, trial });
        this.#rebuild(epochMs);
        return true;
    }

    /** A request was served, which clears the strikes that were known when it was sent. @returns whether the others must hear of it */
    onServed(contentId: string, mark: number, epochMs: number): boolean {
        const record = this.#records.get(contentId);
        const cleared = record?.incarnationsAt(mark) ?? [];
        if (record === undefined || cleared.length === 0) {
            return false;
        }
        const known = this.#ownCleared.get(contentId) ?? new Set();
        this.#ownCleared.set(contentId, known);
        for (const incarnation of cleared) {
            this.#ownStrikes.delete(createKey(contentId, incarnation));
            known.add(incarnation);
        }
        this.#untold.add(contentId);
        const mustTell = record.strikes > 1;
        this.#rebuild(epochMs);
        return mustTell;
    }

    /** What the gateways report now. @returns whether the others must hear of what this one has cleared */
    onReports(reports: ReadonlyMap<string, StoredCrashReport>, epochMs: number): boolean {
        this.#others = [...reports].filter(([gateway]) => gateway !== this.#name).map(([, { report }]) => report);
        this.#rebuild(epochMs);
        // One strike harms nobody, so that its clearing need not be told; together with a later one it would count.
        return [...this.#untold].some(contentId => this.#records.has(contentId));
    }

    /** Goes on with what this gateway reported before it was restarted. */
    restore({ strikes, cleared }: CrashReport, epochMs: number): void {
        for (const strike of strikes) {
            this.#ownStrikes.set(createKey(strike.contentId, strike.incarnation), strike);
        }
        for (const { contentId, incarnations } of cleared) {
            this.#ownCleared.set(contentId, new Set([...this.#ownCleared.get(contentId) ?? [], ...incarnations]));
        }
        this.#rebuild(epochMs);
    }

    /** @returns what this gateway tells the others from now on */
    report(): CrashReport {
        this.#untold.clear();
        return this.#createReport();
    }

    /** @returns what is believed otherwise since the last call */
    takeChanges(): readonly ContentStateChange[] {
        return this.#changes.splice(0);
    }

    #createReport(): CrashReport {
        return {
            strikes: [...this.#ownStrikes.values()],
            cleared: [...this.#ownCleared].map(([contentId, incarnations]) => ({
                contentId,
                incarnations: [...incarnations],
            })),
        };
    }

    #rebuild(epochMs: number): void {
        this.#mark++;
        const clearedKeys = this.#findCleared();
        this.#dropOwn(clearedKeys, epochMs);
        const before = this.#records;
        this.#records = new Map();
        for (const strike of [...this.#ownStrikes.values(), ...this.#others.flatMap(({ strikes }) => strikes)]) {
            const { contentId, incarnation, atEpochMs } = strike;
            if (epochMs - atEpochMs >= quarantineRetentionMs || clearedKeys.has(createKey(contentId, incarnation))) {
                continue;
            }
            const record = this.#records.get(contentId) ?? new ContentRecord();
            this.#records.set(contentId, record);
            record.add({
                strike,
                knownSinceVersion: before.get(contentId)?.knownSinceVersion(incarnation) ?? this.#mark,
            });
        }
        this.#forgetOld(epochMs);
        this.#headIds = new Set([...this.#records.keys()].map(headIdOf));
        this.#noteChanges(before);
    }

    #forgetOld(epochMs: number): void {
        for (const [contentId, record] of this.#records) {
            if (epochMs >= record.expiresAtEpochMs) {
                this.#records.delete(contentId);
            }
        }
        for (const [key, { contentId }] of this.#ownStrikes) {
            if (!this.#records.has(contentId)) {
                this.#ownStrikes.delete(key);
            }
        }
    }

    #findCleared(): ReadonlySet<string> {
        const keys = new Set<string>();
        for (
            const { contentId, incarnations } of [
                ...this.#others.flatMap(({ cleared }) => cleared),
                ...this.#createReport().cleared,
            ]
        ) {
            incarnations.forEach(incarnation => keys.add(createKey(contentId, incarnation)));
        }
        return keys;
    }

    /** Keeps this gateway's report small: what was cleared, is too old or nobody reports any more goes first. */
    #dropOwn(clearedKeys: ReadonlySet<string>, epochMs: number): void {
        for (const [key, { atEpochMs }] of this.#ownStrikes) {
            if (clearedKeys.has(key) || epochMs - atEpochMs >= quarantineRetentionMs) {
                this.#ownStrikes.delete(key);
            }
        }
        const reported = new Set(
            this.#others.flatMap(({ strikes }) => strikes.map(each => createKey(each.contentId, each.incarnation))),
        );
        for (const [contentId, incarnations] of this.#ownCleared) {
            for (const incarnation of incarnations) {
                if (!reported.has(createKey(contentId, incarnation))) {
                    incarnations.delete(incarnation);
                }
            }
            if (incarnations.size === 0) {
                this.#ownCleared.delete(contentId);
            }
        }
        dropFirst(this.#ownCleared, this.#ownCleared.size - maxReportedContents);
        this.#evictStrikes();
    }

    /** A caller that sends ever new requests of this kind must not push out what keeps the known ones away. */
    #evictStrikes(): void {
        const excess = this.#ownStrikes.size - maxReportedContents;
        if (excess <= 0) {
            return;
        }
        const isKept = ({ contentId }: CrashStrike): boolean => this.#records.get(contentId)?.isQuarantined === true;
        const ranked = [...this.#ownStrikes].sort(([, a], [, b]) =>
            Number(isKept(a)) - Number(isKept(b)) || a.atEpochMs - b.atEpochMs
        );
        for (const [key] of ranked.slice(0, excess)) {
            this.#ownStrikes.delete(key);
        }
    }

    #noteChanges(before: ReadonlyMap<string, ContentRecord>): void {
        for (const contentId of new Set([...before.keys(), ...this.#records.keys()])) {
            const [was, is] = [before.get(contentId), this.#records.get(contentId)];
            if (was?.strikes !== is?.strikes || stateOf(was) !== stateOf(is)) {
                const { strikes, generations } = is ?? { strikes: 0, generations: 0 };
                this.#changes.push({ contentId, state: stateOf(is), strikes, generations });
            }
        }
    }
}

/** @returns the part of a content id that names the request without its body */
function headIdOf(contentId: string): string {
    const end = contentId.indexOf(".");
    return end < 0 ? contentId : contentId.slice(0, end);
}

function stateOf(record: ContentRecord | undefined): ContentStateChange["state"] {
    if (record === undefined) {
        return "clear";
    }
    return record.isQuarantined ? "quarantined" : "suspected";
}

function createKey(contentId: string, incarnation: string): string {
    return `${contentId} ${incarnation}`;
}

function dropFirst(map: Map<string, unknown>, count: number): void {
    for (const key of [...map.keys()].slice(0, Math.max(0, count))) {
        map.delete(key);
    }
}
