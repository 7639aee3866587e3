/** Which requests end the backend servers that run them, and what keeps these from further servers. */
export {
    defaultTrialAfterMs,
    quarantineRetentionMs,
    quarantineStrikes,
    singleSendStrikes,
    suspicionRetentionMs,
} from "./constants.js";
export {
    type ContentState,
    type Crash,
    CrashLedger,
    type LedgerChange,
    type LedgerSight,
    type Verdict,
} from "./crashLedger.js";
