import { type Sample, type Slope } from "./slope.js";

/** A quantity that is measured at several sizes, over several rounds. */
export interface Measurement {
    /** Stable name, to which the formulas of the capacity page refer. */
    readonly name: string;
    /** Unit of the size, such as `target`. */
    readonly per: string;
    /** Unit of the values. */
    readonly unit: string;
    readonly rounds: readonly (readonly Sample[])[];
    readonly slope: Slope;
}

/** All measurements of a run, as stored in docs/capacity/results.json. */
export interface CapacityResults {
    /** Date of the run, as YYYY-MM-DD. */
    readonly day: string;
    readonly node: string;
    readonly measurements: readonly Measurement[];
}
