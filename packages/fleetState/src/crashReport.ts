import { maxReportedContents } from "./constants.js";

/** One end of one backend server while it ran a request. */
export interface CrashStrike {
    /** Names what the request asked. */
    readonly contentId: string;
    /** The start of the server that ended. */
    readonly incarnation: string;
    /**
     * One more than the highest generation of the same content that the gateway knew when it sent the request. Servers that end
     * together, as in a power failure, are of one generation; a request that is sent again because of it makes the next one.
     */
    readonly generation: number;
    /** By the time of day of the gateway that saw it. */
    readonly atEpochMs: number;
    /** Whether the request was let through to see whether it still ends servers. */
    readonly trial: boolean;
}

/** Strikes that don't count any more: a later request with the same content was served. */
export interface ClearedStrikes {
    readonly contentId: string;
    readonly incarnations: readonly string[];
}

/** What one gateway tells the others of requests under which backend servers ended. */
export interface CrashReport {
    readonly strikes: readonly CrashStrike[];
    readonly cleared: readonly ClearedStrikes[];
}

/** A gateway's report as it lies in the store. */
export interface StoredCrashReport {
    readonly report: CrashReport;
    /** The store's revision at which it was written. */
    readonly revision: number;
}

/** @returns the value of a gateway's report */
export function renderCrashReport(report: CrashReport): string {
    return JSON.stringify(report);
}

/**
 * Reads the value of a report. What is malformed in it is left out, and no more is read than a gateway writes.
 *
 * @param value - as it lies in the store
 * @returns the report, or `undefined` where it is none
 */
export function readCrashReport(value: string): CrashReport | undefined {
    let read: unknown;
    try {
        read = JSON.parse(value);
    }
    catch {
        return undefined;
    }
    if (!isRecord(read) || !Array.isArray(read["strikes"]) || !Array.isArray(read["cleared"])) {
        return undefined;
    }
    return {
        strikes: read["strikes"].filter(isStrike).slice(0, maxReportedContents),
        cleared: read["cleared"].filter(isCleared).slice(0, maxReportedContents),
    };
}

function isStrike(value: unknown): value is CrashStrike {
    return isRecord(value) && typeof value["contentId"] === "string" && typeof value["incarnation"] === "string"
        && Number.isInteger(value["generation"]) && Number.isFinite(value["atEpochMs"])
        && typeof value["trial"] === "boolean";
}

function isCleared(value: unknown): value is ClearedStrikes {
    return isRecord(value) && typeof value["contentId"] === "string" && Array.isArray(value["incarnations"])
        && value["incarnations"].every(each => typeof each === "string");
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null;
}
