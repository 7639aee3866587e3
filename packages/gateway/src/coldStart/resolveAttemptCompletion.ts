import { type AttemptCompletion } from "@galenaglade/cold-start";
import { type AttemptResult } from "../requests/attempt.js";

/**
 * @param result - result of an attempt
 * @returns the result as the cold-start gate needs it
 */
export function resolveAttemptCompletion(result: AttemptResult): AttemptCompletion {
    const { outcome, failure, metadata } = result;
    return {
        outcome: resolveOutcome(result),
        metadata: metadata,
        mayStillRun: failure !== undefined && outcome.didRun !== "no",
    };
}

function resolveOutcome({ outcome, failure }: AttemptResult): AttemptCompletion["outcome"] {
    if (failure === undefined) {
        return "good";
    }
    switch (outcome.failure) {
        case "backendShed":
            return "shed";
        case "connectFailed":
            // If this gateway cancelled the attempt before the first byte, the result is no evidence about the server.
            return failure.kind === "connectFailed" ? "refused" : "cancelled";
        case "patienceSpent":
            return "cancelled";
        default:
            return "failed";
    }
}
