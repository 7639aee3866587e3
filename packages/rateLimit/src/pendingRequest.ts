import { defaultDecisionTimeoutMs } from "./constants.js";
import { type LimitRule, type TokenRequest } from "./model.js";

/** A request waiting for a decision. */
export class PendingRequest {
    readonly id: number;
    readonly rule: LimitRule;
    readonly deadlineMs: number;
    /** Earliest time of the next token request for it. */
    notBeforeMs: number;
    /** Whether the decision is outstanding and its caller still waits for it. */
    isPending = true;

    constructor(id: number, request: TokenRequest, nowMs: number) {
        const { workspace, perSecond, burst, configVersion, decisionTimeoutMs = defaultDecisionTimeoutMs } = request;
        this.id = id;
        this.rule = { workspace, perSecond, burst, configVersion };
        this.deadlineMs = nowMs + decisionTimeoutMs;
        this.notBeforeMs = nowMs;
    }
}
