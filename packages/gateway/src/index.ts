/** The data path: forwards callers' requests to backend servers and returns the responses. */
export { type ConfigurationSource } from "./configurationSource.js";
export { createGateway, type Gateway, type GatewayOptions } from "./gateway.js";
export { createGatewayProcess } from "./gatewayProcess.js";
export { ServerGate } from "./requests/serverGate.js";
