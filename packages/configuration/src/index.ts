/** The operators' configuration: services, availability zones, backend servers and caller patience. */
export { checkYaml, formatFaults, type LocatedFault } from "./checkYaml.js";
export { type DocumentFault, formatPath, createSchemaResolver, type DocumentResolver } from "./documentFaults.js";
export {
    type AvailabilityZone,
    type BackendServer,
    type Configuration,
    type ConfigurationInput,
    configurationSchema,
    type DeepReadonly,
    type PatienceRule,
    type ConfigurationRevision,
    type Service,
    type Weekday,
    weekdays,
} from "./model.js";
export { resolveConfiguration } from "./resolveConfiguration.js";
export { defaultCallerKind, resolvePatience } from "./resolvePatience.js";
export { acceptedKeys, formatOptions, listOptions, type SchemaOption } from "./schemaOptions.js";
export { findUnservedServices, keepZoneStates, setZoneState, type ZoneState } from "./zoneState.js";
