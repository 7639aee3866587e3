import { type AttemptEnd } from "@galenaglade/cold-start";
import { type Target } from "./serviceTable.js";

/** Leave to send one request to one backend server; its slot is counted as taken until `Scheduler.release`. */
export interface Grant {
    /** Unique within this process. */
    readonly id: string;
    readonly target: Target;
    readonly grantedAtMs: number;
    /** The configuration revision under which the backend server was chosen. */
    readonly revision: number;
}

/** How a granted request ended. */
export interface GrantEnd {
    /** Time to the answer's head; `undefined` where none came. */
    readonly latencyMs: number | undefined;
    readonly succeeded: boolean;
    /** What the gate is told. */
    readonly attempt: AttemptEnd;
}
