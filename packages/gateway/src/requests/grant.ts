import { type AttemptCompletion } from "@galenaglade/cold-start";
import { type Target } from "./serviceTable.js";

/** Permission to send one request to one backend server. It occupies a slot until `Scheduler.release` is called. */
export interface Grant {
    /** Unique within this process. */
    readonly id: string;
    readonly target: Target;
    readonly grantedAtMs: number;
    /** Configuration revision by which the backend server was selected. */
    readonly revision: number;
}

/** Result of a granted request. */
export interface GrantResult {
    /** Time until the response headers, in milliseconds; `undefined` without a complete response. */
    readonly latencyMs: number | undefined;
    readonly succeeded: boolean;
    /** Result of the attempt for the server gate. */
    readonly attempt: AttemptCompletion;
}
