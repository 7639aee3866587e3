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
const reportsKept = 10_000;

/** Past loads of a server, from which faulty load reports are made. */
export class LoadReportHistory {
    readonly #reports: TimedReport[] = [];

    /** Records the load at a point in time. */
    record(report: LoadReport, atMs: number): void {
        this.#reports.push({ atMs, report });
        if (this.#reports.length > reportsKept) {
            this.#reports.splice(0, reportsKept / 2);
        }
    }

    /**
     * @param truth - the actual load
     * @param faults - the injected faults
     * @param nowMs - the current time in milliseconds
     * @returns the load to report
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
