import { type LogFields, type Logger, type LogLevel } from "@galenaglade/telemetry";
import { maxLogLinesPerSecond } from "../constants.js";

/** Events that an edge process logs. */
export type EdgeLogEvent =
    | "started"
    | "startTimeline"
    | "stopping"
    | "listenerClosing"
    | "callerMemoryReclaimed"
    | "responseCut"
    | "callerLeft"
    | "callerLeftSettled"
    | "sentAfterDisconnect"
    | "unansweredAtStop"
    | "stopped"
    | "reloaded"
    | "storeLost"
    | "storeCallFailed"
    | "storeRegained"
    | "storeRestored"
    | "storeSuspected"
    | "relayChosen"
    | "relayLost"
    | "changeNotPassedOn"
    | "hostPaused"
    | "heldAtStart"
    | "belief"
    | "registered"
    | "registrationFailed"
    | "requestEnded"
    | "requestFailed"
    | "refusalReplaced"
    | "retry"
    | "hedge"
    | "retryBudgetSpent"
    | "sendLost"
    | "notAnAnswer"
    | "responseIncomplete"
    | "responseUnconfirmed"
    | "serverLimit"
    | "serverRest"
    | "serverLeaving"
    | "serverReach"
    | "handedOver"
    | "handoverRefused"
    | "unknownHeader"
    | "allocatorChosen"
    | "allocatorLost"
    | "isolated"
    | "sharesHeld"
    | "limitRefused"
    | "contentJudged"
    | "crashReportFailed"
    | "quarantineTrial"
    | "rolloutStage"
    | "rolloutVerdict"
    | "rolloutWriteFailed"
    | "rolloutRestored"
    | "trialStopped"
    | "coordinatorLost"
    | "linesLeftOut"
    | "unexpected";

interface Budget {
    second: number;
    lines: number;
    dropped: number;
}

const oneSecondMs = 1_000;

/**
 * Log of the process, with one line per event. Each kind of event is rate-limited per second on its own, so that a
 * flood of one kind stays cheap and doesn't hide another; failed requests are a kind of their own. The number of
 * dropped lines is logged.
 */
export class EdgeLog {
    readonly #logger: Logger;
    readonly #nowMs: () => number;
    readonly #budgets = new Map<EdgeLogEvent, Budget>();

    constructor(logger: Logger, nowMs: () => number) {
        this.#logger = logger;
        this.#nowMs = nowMs;
    }

    log(level: LogLevel, event: EdgeLogEvent, fields: LogFields): void {
        if (this.#takeLine(event)) {
            this.#logger[level](event, fields);
        }
    }

    #takeLine(event: EdgeLogEvent): boolean {
        const second = Math.floor(this.#nowMs() / oneSecondMs);
        const budget = this.#budgets.get(event) ?? { second, lines: 0, dropped: 0 };
        this.#budgets.set(event, budget);
        if (budget.second !== second) {
            if (budget.dropped > 0) {
                this.#logger.warn("linesLeftOut", { event, lines: budget.dropped });
            }
            budget.second = second;
            budget.lines = 0;
            budget.dropped = 0;
        }
        if (budget.lines >= maxLogLinesPerSecond) {
            budget.dropped++;
            return false;
        }
        budget.lines++;
        return true;
    }
}
