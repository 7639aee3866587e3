/** Small stand-ins for the systems that galenaglade serves and uses; for tests, benches and the playground only. */
export { type CallFate, FakeStore, type FateOf } from "./fakes/fakeStore.js";
export { VirtualTime } from "./fakes/virtualTime.js";
export { type CallCounts, type CallLimits, defaultCallLimits } from "./platform/callMeter.js";
export { KeyValueEngine } from "./platform/keyValueEngine.js";
export { type PlatformFaults, platformFaultsSchema } from "./platform/platformFaults.js";
export { PlatformServer, type PlatformServerOptions } from "./platform/platformServer.js";
