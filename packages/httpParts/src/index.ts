/** What every program that speaks HTTP needs: clocks, ports, bodies, end-to-end headers, and cutting a connection. */
export { type CallerLimits, createCallerServer } from "./callerServer.js";
export { type Clock, systemClock } from "./clock.js";
export { cutCaller } from "./cutCaller.js";
export { writeFailure } from "./failureAnswer.js";
export { findHeader, findHeaders, keepEndToEnd, type RawHeaders } from "./headers.js";
export { parseJson } from "./parseJson.js";
export { listen, type ListenAddress } from "./ports.js";
export { type BodyLimits, readRequestBody, RequestBody } from "./requestBody.js";
export { SilenceLimit } from "./silenceLimit.js";
export { settleWithin, sleep } from "./waiting.js";
