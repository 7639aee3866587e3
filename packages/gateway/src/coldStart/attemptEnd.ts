import { type AttemptEnd } from "@galenaglade/cold-start";
import { type AttemptResult } from "../requests/attempt.js";

/**
 * @param result - what came of a try
 * @returns what it means for the backend server's cold start
 */
export function resolveAttemptEnd(result: AttemptResult): AttemptEnd {
    const { outcome, failure, metadata } = result;
    return {
        outcome: resolveOutcome(result),
        signs: metadata,
        mayStillRun: failure !== undefined && outcome.didRun !== "no",
    };
}

function resolveOutcome({ outcome, failure }: AttemptResult): AttemptEnd["outcome"] {
    if (failure === undefined) {
        return "good";
    }
    switch (outcome.failure) {
        case "backendShed":
            return "shed";
        case "connectFailed":
            // Refused by this gateway itself in the turn of the first byte, it says nothing of the server.
            return failure.kind === "connectFailed" ? "refused" : "cancelled";
        case "patienceSpent":
            return "cancelled";
        default:
            return "failed";
    }
}
