/** What operators declare: services, availability zones, backend servers, and patience. */
export { checkYaml, formatFaults, type LocatedFault } from "./checkYaml.js";
export { type DocumentFault, formatPath, resolveBySchema, type ResolveDocument } from "./documentFaults.js";
export {
    type AvailabilityZone,
    type BackendServer,
    type Configuration,
    type ConfigurationInput,
    configurationSchema,
    type DeepReadonly,
    type PatienceRule,
    type RevisedConfiguration,
    type Service,
    type Weekday,
    weekdays,
} from "./model.js";
export { defaultCallerKind, resolvePatience } from "./patience.js";
export { resolveConfiguration } from "./resolve.js";
export { acceptedKeys, formatOptions, listOptions, type SchemaOption } from "./schemaTree.js";
export { findUnservedServices, keepZoneStates, setZoneState, type ZoneState } from "./zoneState.js";
