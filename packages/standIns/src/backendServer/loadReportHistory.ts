import { type BackendFaults } from "./backendFaults.js";
import { type ServerState } from "./serverModel.js";

/** Response body of `/load` and `/health`. */
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

/** Number of past reports that are kept to simulate a lagging load report. */
const maxReports = 10_000;

/** Past loads of a server, from which faulty load reports are made. */
export class LoadReportHistory {
    readonly #reports: TimedReport[] = [];

    /** Records the load at a point in time. */
    record(report: LoadReport, atMs: number): void {
        this.#reports.push({ atMs, report });
        if (this.#reports.length > maxReports) {
            this.#reports.splice(0, maxReports / 2);
        }
    }

    /**
     * @param actual - the actual load
     * @param faults - the injected faults
     * @param nowMs - the current time in milliseconds
     * @returns the load to report
     */
    createReport(actual: LoadReport, faults: BackendFaults, nowMs: number): LoadReport {
        switch (faults.loadReport) {
            case "true":
                return actual;
            case "zero":
                return { ...actual, inFlight: 0 };
            case "lagging": {
                const pastReport = this.#reports.findLast(({ atMs }) => atMs <= nowMs - faults.loadLagMs);
                return pastReport?.report ?? { ...actual, inFlight: 0 };
            }
        }
    }
}
