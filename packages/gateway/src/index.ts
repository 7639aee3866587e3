/** The data path: callers' requests in, backend servers' answers out. */
export { type ConfigurationSource } from "./configurationSource.js";
export { createGateway, type Gateway, type GatewayOptions } from "./gateway.js";
export { createGatewayProcess } from "./gatewayProcess.js";
export { ServerGate } from "./requests/serverGate.js";
