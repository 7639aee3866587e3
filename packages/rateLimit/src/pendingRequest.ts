import { defaultDecisionTimeoutMs } from "./constants.js";
import { type LimitRule, type TokenRequest } from "./model.js";

/** A request that waits for its decision. */
export class PendingRequest {
    readonly id: number;
    readonly rule: LimitRule;
    readonly deadlineMs: number;
    /** When it may be asked for again. */
    notBeforeMs: number;
    /** Whether its caller still waits for a decision. */
    isPending = true;

    constructor(id: number, request: TokenRequest, nowMs: number) {
        const { workspace, perSecond, burst, configVersion, decisionTimeoutMs = defaultDecisionTimeoutMs } = request;
        this.id = id;
        this.rule = { workspace, perSecond, burst, configVersion };
        this.deadlineMs = nowMs + decisionTimeoutMs;
        this.notBeforeMs = nowMs;
    }
}
