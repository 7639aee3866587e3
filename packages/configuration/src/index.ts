/** What operators declare: services, availability zones, backend servers, and patience. */
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
export { type ConfigurationFault, resolveConfiguration } from "./resolve.js";
