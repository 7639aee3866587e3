/** Abstract clients of the platform, and the concrete one. */
export { type HostEntry, HostList } from "./hostList.js";
export {
    type CompareAndSwap,
    type KeyValue,
    KeyValueStore,
    type Lease,
    type SwapOutcome,
    type WatchEvents,
    type WatchRequest,
} from "./keyValueStore.js";
