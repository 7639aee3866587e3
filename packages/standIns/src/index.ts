/** Small stand-ins for the systems that galenaglade serves and uses; for tests, benches and the playground only. */
export { type CallFate, FakeStore, type FateOf } from "./fakes/fakeStore.js";
export { VirtualTime } from "./fakes/virtualTime.js";
export { KeyValueEngine } from "./platform/keyValueEngine.js";
