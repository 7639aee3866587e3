import { type Sample, type Slope } from "./slope.js";

/** One quantity measured at several sizes, over several rounds. */
export interface Measurement {
    /** Stable name; the page's formulas refer to it. */
    readonly name: string;
    /** What the size counts, such as `target`. */
    readonly per: string;
    /** Unit of the value. */
    readonly unit: string;
    readonly rounds: readonly (readonly Sample[])[];
    readonly slope: Slope;
}

/** All measurements of one run, as committed. */
export interface CapacityResults {
    /** Day of the run. */
    readonly day: string;
    readonly node: string;
    readonly measurements: readonly Measurement[];
}
