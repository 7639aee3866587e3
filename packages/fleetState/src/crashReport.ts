import { maxReportedContents } from "./constants.js";

const maxIdLength = 1_024;
const maxGeneration = 1_000_000;
/** Latest time that a date can hold. */
const maxEpochMs = 8.64e15;

/** The end of a backend server while it was processing a request. */
export interface CrashStrike {
    /** Identifies the content of the request. */
    readonly contentId: string;
    /** Incarnation of the server that ended. */
    readonly incarnation: string;
    /**
     * One more than the highest generation of the same content that the gateway knew when it sent the request. Servers
     * that end together, as in a power failure, share one generation; a retry of the request because of that starts
     * the next one.
     */
    readonly generation: number;
    /** Wall-clock time of the gateway that observed it. */
    readonly atEpochMs: number;
    /** Whether the request was let through as a trial, to find out whether it still ends servers. */
    readonly trial: boolean;
}

/** Strikes that are void because a later request with the same content was served. */
export interface ClearedStrikes {
    readonly contentId: string;
    readonly incarnations: readonly string[];
}

/** What one gateway shares with the others about requests under which backend servers ended. */
export interface CrashReport {
    readonly strikes: readonly CrashStrike[];
    readonly cleared: readonly ClearedStrikes[];
}

/** A gateway's report, as stored. */
export interface StoredCrashReport {
    readonly report: CrashReport;
    /** Revision at which it was written. */
    readonly revision: number;
}

/** @returns the stored value of a gateway's report */
export function renderCrashReport(report: CrashReport): string {
    return JSON.stringify(report);
}

/**
 * Parses the stored value of a report. Malformed entries are dropped, as are entries beyond the number that a gateway
 * writes.
 *
 * @param value - the stored value
 * @returns the report, or `undefined` if the value is not a report
 */
export function readCrashReport(value: string): CrashReport | undefined {
    let parsed: unknown;
    try {
        parsed = JSON.parse(value);
    }
    catch {
        return undefined;
    }
    if (!isRecord(parsed) || !Array.isArray(parsed["strikes"]) || !Array.isArray(parsed["cleared"])) {
        return undefined;
    }
    return {
        strikes: parsed["strikes"].flatMap(readStrike).slice(0, maxReportedContents),
        cleared: parsed["cleared"].flatMap(readClearedStrikes).slice(0, maxReportedContents),
    };
}

/** Takes the known fields only: what is read of an own report is written again. */
function readStrike(value: unknown): readonly CrashStrike[] {
    if (!isRecord(value)) {
        return [];
    }
    const { contentId, incarnation, generation, atEpochMs, trial } = value;
    return isId(contentId) && isId(incarnation) && isCount(generation, maxGeneration) && isCount(atEpochMs, maxEpochMs)
            && typeof trial === "boolean"
        ? [{ contentId, incarnation, generation, atEpochMs, trial }]
        : [];
}

function readClearedStrikes(value: unknown): readonly ClearedStrikes[] {
    if (!isRecord(value)) {
        return [];
    }
    const { contentId, incarnations } = value;
    return isId(contentId) && Array.isArray(incarnations) && incarnations.every(isId)
        ? [{ contentId, incarnations }]
        : [];
}

function isId(value: unknown): value is string {
    return typeof value === "string" && value.length <= maxIdLength;
}

function isCount(value: unknown, max: number): value is number {
    return typeof value === "number" && value >= 0 && value <= max;
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null;
}
