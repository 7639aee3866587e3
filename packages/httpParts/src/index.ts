/** Shared HTTP utilities: caller server, error responses, headers, request bodies, clocks and timeouts. */
export { ByteCollector } from "./byteCollector.js";
export { type DisconnectCause, enableDisconnects, hasDisconnected, onDisconnect } from "./callerDisconnects.js";
export {
    CallerMemory,
    type CallerMemoryLimits,
    defaultCallerMemoryLimits,
    type ReclaimedConnection,
} from "./callerMemory.js";
export { type Clock, systemClock } from "./clock.js";
export { type ConnectionUse, holdResponse } from "./connectionMemory.js";
export { ConnectionTracker } from "./connectionTracker.js";
export { type CallerServerOptions, createCallerServer } from "./createCallerServer.js";
export { writeFailure } from "./failureResponse.js";
export { findHeader, findHeaders, filterEndToEndHeaders, type RawHeaders } from "./headers.js";
export { InactivityTimeout } from "./inactivityTimeout.js";
export { enableLingeringClose, lingerIdleMs } from "./lingeringClose.js";
export { listen, type ListenAddress } from "./listen.js";
export { type BodyFraming, resolveBodyFraming } from "./outgoing/bodyFraming.js";
export { BoundedSocket, ResponseResetError } from "./outgoing/boundedSocket.js";
export { type ConnectorOptions, createConnector } from "./outgoing/createConnector.js";
export { type EmbeddedHead, EmbeddedHeadScanner } from "./outgoing/embeddedHeads.js";
export { ResponseFramingError } from "./outgoing/responseFraming.js";
export { parseJson } from "./parseJson.js";
export { whenInputRead } from "./pendingInput.js";
export { type BodyLimits, readRequestBody, RequestBody } from "./requestBody.js";
export { resetCallerConnection } from "./resetCallerConnection.js";
export { resetConnection, type ResetReason, resetReasonOf } from "./resetConnection.js";
export { waitAtMost, sleep } from "./timers.js";
