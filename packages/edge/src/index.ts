/**
 * The edge process, which proxies callers' requests to backend servers; independent of the store and of header names.
 */
export { type OnConnected, ServerConnector } from "./backends/serverConnector.js";
export { createEdge, type Edge, type EdgeOptions } from "./edge.js";
export { type EdgeProcessOptions, runEdge } from "./edgeProcess.js";
export {
    type ResponseMetadata,
    EdgeMetadataCodec,
    type ForwardIdentity,
    type ForwardMetadata,
    type RequestMetadata,
} from "./metadataCodec.js";
export { edgeSettingsSchema, resolveEdgeSettings, type ResolvedEdgeSettings } from "./settings.js";
export { StateCodec } from "./stateCodec.js";
