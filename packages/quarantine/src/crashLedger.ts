import {
    type CrashReport,
    type CrashStrike,
    findOwners,
    maxReportedContents,
    type StoredCrashReport,
} from "@galenaglade/fleet-state";
import { ContentRecord } from "./contentRecord.js";
import { defaultTrialDelaysMs, quarantineRetentionMs } from "./constants.js";

/** How a request with some content is to be handled. */
export type ContentState =
    /** There are no strikes against it. */
    | "clear"
    /** Servers have crashed under it, but too few to conclude that it was the cause. */
    | "suspected"
    /** It isn't sent to any server. */
    | "quarantined"
    /** It is quarantined, but this request may be sent to one server to find out whether the quarantine can end. */
    | "trial";

/** State of a request's content. */
export interface ContentStatus {
    readonly state: ContentState;
    /** Number of servers that crashed under it. */
    readonly strikes: number;
    /** Time in milliseconds until the next request with this content may be sent. */
    readonly retryAfterMs: number;
}

/** Input to a content's state besides the strikes. */
export interface ContentCheckContext {
    /** Names of all gateways in the roster. */
    readonly gateways: readonly string[];
    readonly epochMs: number;
}

/** A server's crash under a request. */
export interface Crash {
    readonly contentId: string;
    readonly incarnation: string;
    /** Ledger version at which the request was sent. */
    readonly ledgerVersion: number;
    readonly epochMs: number;
    /** Whether the request was a trial. */
    readonly trial: boolean;
}

/** Change of a content's state, for the log. */
export interface ContentStateChange {
    readonly contentId: string;
    readonly state: "clear" | "suspected" | "quarantined";
    readonly strikes: number;
    readonly generations: number;
}

const clearStatus: ContentStatus = Object.freeze({ state: "clear", strikes: 0, retryAfterMs: 0 });

/**
 * Tracks requests under which backend servers crashed, from the strikes of this gateway and those reported by the
 * others. All gateways evaluate the same reports, so that a request that crashes one server after the other is
 * quarantined everywhere soon after the third crash, whichever gateways observed them. A request that is served
 * although its strikes were known clears them.
 */
export class CrashLedger {
    readonly #name: string;
    readonly #trialDelaysMs: readonly number[];
    readonly #ownStrikes = new Map<string, CrashStrike>();
    readonly #ownCleared = new Map<string, Set<string>>();
    readonly #activeTrials = new Set<string>();
    /** Contents that this gateway has cleared since its last report. */
    readonly #unpublishedClears = new Set<string>();
    readonly #changes: ContentStateChange[] = [];
    #otherReports: readonly CrashReport[] = [];
    #records = new Map<string, ContentRecord>();
    #headIds: ReadonlySet<string> = new Set();
    /** Increases with every change. */
    #version = 0;

    /**
     * @param name - name of this gateway, as registered
     * @param trialDelaysMs - delays from the latest strike to each trial of a quarantined request, in milliseconds
     */
    constructor(name: string, trialDelaysMs: readonly number[] = defaultTrialDelaysMs) {
        this.#name = name;
        this.#trialDelaysMs = trialDelaysMs;
    }

    /** @returns the current ledger version, to be passed with the result of a request that is sent now */
    version(): number {
        return this.#version;
    }

    /** Whether there are no strikes against any content. */
    get isEmpty(): boolean {
        return this.#records.size === 0;
    }

    /** @returns whether any content with this head id has strikes; most requests need no further check */
    mayHaveRecord(headId: string): boolean {
        return this.#headIds.has(headId);
    }

    /** Number of quarantined contents. */
    get quarantinedCount(): number {
        return [...this.#records.values()].filter(record => record.isQuarantined).length;
    }

    /** @returns how a request with the content is to be handled now */
    checkContent(contentId: string, { gateways, epochMs }: ContentCheckContext): ContentStatus {
        const record = this.#records.get(contentId);
        if (record === undefined || epochMs >= record.expiresAtEpochMs) {
            return clearStatus;
        }
        const { strikes } = record;
        const trialAtEpochMs = record.nextTrialAtEpochMs(this.#trialDelaysMs);
        if (!record.isQuarantined) {
            return { state: "suspected", strikes, retryAfterMs: 0 };
        }
        const isTrialDue = epochMs >= trialAtEpochMs && !this.#activeTrials.has(contentId)
            && findOwners(contentId, gateways, 1)[0] === this.#name;
        const nextSendAtEpochMs = Math.min(trialAtEpochMs, record.expiresAtEpochMs);
        return {
            state: isTrialDue ? "trial" : "quarantined",
            strikes,
            retryAfterMs: Math.max(0, nextSendAtEpochMs - epochMs),
        };
    }

    /** Records that a quarantined request is sent as a trial. @returns to be called when the request has ended */
    beginTrial(contentId: string): () => void {
        this.#activeTrials.add(contentId);
        return () => this.#activeTrials.delete(contentId);
    }

    /**
     * Records that a server crashed under a request of this gateway.
     *
     * @returns whether a new report has to be published
     */
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

    /**
     * Records that a request was served, which clears the strikes that were known when it was sent.
     *
     * @returns whether a new report has to be published
     */
    onServed(contentId: string, ledgerVersion: number, epochMs: number): boolean {
        const record = this.#records.get(contentId);
        const cleared = record?.incarnationsAt(ledgerVersion) ?? [];
        if (record === undefined || cleared.length === 0) {
            return false;
        }
        const known = this.#ownCleared.get(contentId) ?? new Set();
        this.#ownCleared.set(contentId, known);
        for (const incarnation of cleared) {
            this.#ownStrikes.delete(createKey(contentId, incarnation));
            known.add(incarnation);
        }
        this.#unpublishedClears.add(contentId);
        const mustPublish = record.strikes > 1;
        this.#rebuild(epochMs);
        return mustPublish;
    }

    /**
     * Replaces the reports of the other gateways.
     *
     * @returns whether a new report has to be published, with strikes that this gateway cleared
     */
    onReports(reports: ReadonlyMap<string, StoredCrashReport>, epochMs: number): boolean {
        this.#otherReports = [...reports].filter(([gateway]) => gateway !== this.#name).map(([, { report }]) => report);
        this.#rebuild(epochMs);
        // A single strike has no effect, so its clearing isn't published until further strikes are known with which it
        // would count.
        return [...this.#unpublishedClears].some(contentId => this.#records.has(contentId));
    }

    /** Restores the report that this gateway published before it was restarted. */
    restore({ strikes, cleared }: CrashReport, epochMs: number): void {
        for (const strike of strikes) {
            this.#ownStrikes.set(createKey(strike.contentId, strike.incarnation), strike);
        }
        for (const { contentId, incarnations } of cleared) {
            this.#ownCleared.set(contentId, new Set([...this.#ownCleared.get(contentId) ?? [], ...incarnations]));
        }
        this.#rebuild(epochMs);
    }

    /** @returns the report to publish to the other gateways */
    report(): CrashReport {
        this.#unpublishedClears.clear();
        return this.#createReport();
    }

    /** @returns the state changes since the last call */
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
        this.#version++;
        const clearedKeys = this.#findCleared();
        this.#pruneOwn(clearedKeys, epochMs);
        const previous = this.#records;
        this.#records = new Map();
        for (const strike of [...this.#ownStrikes.values(), ...this.#otherReports.flatMap(({ strikes }) => strikes)]) {
            const { contentId, incarnation, atEpochMs } = strike;
            if (epochMs - atEpochMs >= quarantineRetentionMs || clearedKeys.has(createKey(contentId, incarnation))) {
                continue;
            }
            const record = this.#records.get(contentId) ?? new ContentRecord();
            this.#records.set(contentId, record);
            record.add({
                strike,
                knownSinceVersion: previous.get(contentId)?.knownSinceVersion(incarnation) ?? this.#version,
            });
        }
        this.#dropExpired(epochMs);
        this.#headIds = new Set([...this.#records.keys()].map(headIdOf));
        this.#recordChanges(previous);
    }

    #dropExpired(epochMs: number): void {
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
                ...this.#otherReports.flatMap(({ cleared }) => cleared),
                ...this.#createReport().cleared,
            ]
        ) {
            incarnations.forEach(incarnation => keys.add(createKey(contentId, incarnation)));
        }
        return keys;
    }

    /**
     * Bounds the size of this gateway's report: drops cleared and expired strikes, and clearings of strikes that no
     * other gateway reports.
     */
    #pruneOwn(clearedKeys: ReadonlySet<string>, epochMs: number): void {
        for (const [key, { atEpochMs }] of this.#ownStrikes) {
            if (clearedKeys.has(key) || epochMs - atEpochMs >= quarantineRetentionMs) {
                this.#ownStrikes.delete(key);
            }
        }
        const reported = new Set(
            this.#otherReports.flatMap(({ strikes }) =>
                strikes.map(strike => createKey(strike.contentId, strike.incarnation))
            ),
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

    /**
     * Evicts excess strikes, the oldest of contents without quarantine first: a caller that keeps sending new crashing
     * requests must not evict known ones.
     */
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

    #recordChanges(previous: ReadonlyMap<string, ContentRecord>): void {
        for (const contentId of new Set([...previous.keys(), ...this.#records.keys()])) {
            const [was, is] = [previous.get(contentId), this.#records.get(contentId)];
            if (was?.strikes !== is?.strikes || stateOf(was) !== stateOf(is)) {
                const { strikes, generations } = is ?? { strikes: 0, generations: 0 };
                this.#changes.push({ contentId, state: stateOf(is), strikes, generations });
            }
        }
    }
}

/** @returns the part of a content id that identifies the request without its body */
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
