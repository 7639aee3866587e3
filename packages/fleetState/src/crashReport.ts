import { maxReportedContents } from "./constants.js";

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
        strikes: parsed["strikes"].filter(isStrike).slice(0, maxReportedContents),
        cleared: parsed["cleared"].filter(isClearedStrikes).slice(0, maxReportedContents),
    };
}

function isStrike(value: unknown): value is CrashStrike {
    return isRecord(value) && typeof value["contentId"] === "string" && typeof value["incarnation"] === "string"
        && Number.isInteger(value["generation"]) && Number.isFinite(value["atEpochMs"])
        && typeof value["trial"] === "boolean";
}

function isClearedStrikes(value: unknown): value is ClearedStrikes {
    return isRecord(value) && typeof value["contentId"] === "string" && Array.isArray(value["incarnations"])
        && value["incarnations"].every(incarnation => typeof incarnation === "string");
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null;
}
