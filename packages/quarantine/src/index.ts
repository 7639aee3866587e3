/** Detects requests that crash the backend servers that run them, and quarantines them to protect further servers. */
export {
    defaultTrialDelaysMs,
    quarantineRetentionMs,
    quarantineStrikeThreshold,
    singleSendStrikeThreshold,
    suspicionRetentionMs,
} from "./constants.js";
export {
    type ContentState,
    type Crash,
    CrashLedger,
    type ContentStateChange,
    type ContentCheckContext,
    type ContentStatus,
} from "./crashLedger.js";
