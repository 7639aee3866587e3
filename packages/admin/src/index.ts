/** Server of the operators' API. */
export { createAdminProcess } from "./adminProcess.js";
export { AdminServer, type AdminServerOptions } from "./adminServer.js";
export { BackendServerObserver, type GatewayObservations } from "./backendServerObserver.js";
export { ChangeSignal, StoreChangeSignal } from "./changeSignal.js";
export { OperatorCalls, type OperatorCallsOptions } from "./operatorCalls.js";
export { type StandingEvent, StandingFeed } from "./standingFeed.js";
