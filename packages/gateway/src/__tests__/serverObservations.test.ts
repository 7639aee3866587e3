import { type Configuration, resolveConfiguration } from "@galenaglade/configuration";
import { ServerLoadTracker } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { describeServers } from "../operations/serverObservations.js";

const server = { availabilityZone: "a", address: "10.0.0.1", port: 80 };
const service = { authorities: ["*"], patience: [{ callerKind: "default", patienceMs: 1_000 }] };
const configuration: Configuration = resolveConfiguration({
    availabilityZones: [{ name: "a" }],
    services: [
        {
            ...service,
            name: "tables",
            backendServers: [{ ...server, name: "one" }, { ...server, name: "two", port: 81 }],
        },
        { ...service, name: "maps", authorities: ["maps"], backendServers: [{ ...server, name: "one", port: 82 }] },
    ],
}).unsafeCoerce();

test("every declared server is described, with the age of its last load report", () => {
    const board = new ServerLoadTracker();
    board.onSent("tables/two");
    board.onReport("tables/two", { inFlight: 4 }, 1_000);
    const sources = {
        configuration: { revision: 1, changeId: "x", configuration },
        board,
        stateOf: (serverId: string) => serverId === "maps/one" ? "leaving" as const : undefined,
    };
    const idle = { state: undefined, ownInFlight: 0, reportedInFlight: undefined, reportedAgeMs: undefined };
    assert.deepEqual(describeServers(sources, undefined, 1_250.4), [
        { ...idle, serverId: "tables/one" },
        { ...idle, serverId: "tables/two", ownInFlight: 1, reportedInFlight: 4, reportedAgeMs: 250 },
        { ...idle, serverId: "maps/one", state: "leaving" },
    ]);
    assert.deepEqual(describeServers(sources, "maps", 0).map(({ serverId }) => serverId), ["maps/one"]);
    assert.deepEqual(describeServers({ ...sources, configuration: undefined }, undefined, 0), []);
});
