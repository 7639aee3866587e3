import { type BackendFaults } from "./backendFaults.js";
import { type ServerState } from "./serverModel.js";

/** What `/load` and `/health` say. */
export interface LoadReport {
    readonly state: ServerState;
    readonly inFlight: number;
    readonly bears: number;
    readonly incarnation: string;
}

interface TimedReport {
    readonly atMs: number;
    readonly report: LoadReport;
}

/** How many reports are kept for a lagging one. */
const reportsKept = 10_000;

/** What a server has reported of its load, for those that it misleads with old news. */
export class LoadReportHistory {
    readonly #reports: TimedReport[] = [];

    /** Keeps the load as it was at a time. */
    record(report: LoadReport, atMs: number): void {
        this.#reports.push({ atMs, report });
        if (this.#reports.length > reportsKept) {
            this.#reports.splice(0, reportsKept / 2);
        }
    }

    /**
     * @param truth - the load now
     * @param faults - how the report misleads
     * @param nowMs - the present time in milliseconds
     * @returns what to tell
     */
    createReport(truth: LoadReport, faults: BackendFaults, nowMs: number): LoadReport {
        switch (faults.loadReport) {
            case "true":
                return truth;
            case "zero":
                return { ...truth, inFlight: 0 };
            case "lagging": {
                const told = this.#reports.findLast(({ atMs }) => atMs <= nowMs - faults.loadLagMs);
                return told?.report ?? { ...truth, inFlight: 0 };
            }
        }
    }
}
