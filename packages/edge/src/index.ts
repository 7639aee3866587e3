/** The edge process: callers' requests in, backend servers' answers out, over an abstract store and vocabulary. */
export { type OnLinkOpened, ServerLinks } from "./backends/serverLinks.js";
export { createEdge, type Edge, type EdgeParts } from "./edge.js";
export { type EdgeBinding, runEdge } from "./edgeProcess.js";
export { edgeSettingsSchema, resolveEdgeSettings, type ResolvedEdgeSettings } from "./settings.js";
export { StateCodec } from "./stateCodec.js";
export {
    type AnswerSigns,
    EdgeVocabulary,
    type ForwardIdentity,
    type ForwardSigns,
    type RequestSigns,
} from "./vocabulary.js";
