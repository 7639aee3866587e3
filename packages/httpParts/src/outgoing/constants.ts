import { type FramingLimits } from "./responseFraming.js";

/** Limits of what servers, the store and other hosts may send besides payload. */
export const framingLimits: FramingLimits = {
    maxHeadBytes: 32_768,
    maxInterimResponses: 16,
    maxChunkSizeBytes: 4_096,
    maxTrailerBytes: 16_384,
};

/** Idle time after which keep-alive probes are sent, in milliseconds. */
export const tcpKeepAliveIdleMs = 60_000;
