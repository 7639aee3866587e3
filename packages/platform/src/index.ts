/** Clients of the platform: abstract classes and their HTTP implementations. */
export { type HostEntry, HostList } from "./hostList.js";
export { HttpHostList } from "./httpHostList.js";
export { HttpKeyValueStore } from "./httpKeyValueStore.js";
export {
    type CompareAndSwap,
    type KeyValue,
    KeyValueStore,
    type Lease,
    type SwapOutcome,
    type WatchEvents,
    type WatchRequest,
} from "./keyValueStore.js";
export { PlatformClient, type PlatformClientOptions } from "./platformClient.js";
export { clientHeader, hostListSchema, type Operation, operations } from "./protocol.js";
