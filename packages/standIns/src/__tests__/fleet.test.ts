import { type ConfigurationInput } from "@galenaglade/configuration";
import { type HistoryLine } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { backendHeaders } from "../backendServer/backendResponse.js";
import { classifyResponse } from "../caller/classifyResponse.js";
import { Fleet } from "../fleet/fleet.js";
import { limitBackendServers } from "../fleet/fleetConfiguration.js";
import { FleetConfigurer } from "../fleet/fleetConfigurer.js";
import { mergeHistories } from "../recording/historyRecorder.js";

const backendServers = ["stone-1", "stone-2", "stone-3"].map(name => ({
    name,
    availabilityZone: "bend-a",
    address: "10.0.0.1",
    port: 8080,
}));

const configuration: ConfigurationInput = {
    availabilityZones: [{ name: "bend-a" }],
    services: [{
        name: "stone-catalog",
        authorities: ["stones.example"],
        patience: [{ callerKind: "default", patienceMs: 60_000 }],
        backendServers,
    }],
};

function send(url: string, requestId: string, workMs: number) {
    const headers = {
        host: "stones.example",
        [backendHeaders.requestId]: requestId,
        [backendHeaders.workMs]: String(workMs),
    };
    return request(url, { headers });
}

async function waitUntilStarted(fleet: Fleet, requestId: string): Promise<void> {
    const limitMs = performance.now() + 30_000;
    const isStart = (line: HistoryLine): boolean => line.type === "serverStarted" && line.requestId === requestId;
    while (!mergeHistories(fleet.historyFiles).some(isStart)) {
        assert.ok(performance.now() < limitMs, `request ${requestId} did not start in time`);
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

test("limiting backend servers keeps the first ones and leaves the rest of the service unchanged", () => {
    const [service] = limitBackendServers(configuration, 2).services;
    assert.deepEqual(service?.backendServers.map(server => server.name), ["stone-1", "stone-2"]);
    assert.deepEqual(service.authorities, ["stones.example"]);
});

test("a fleet serves requests, and its graceful shutdown completes a request in flight", async () => {
    // A request is still running at its backend server when all processes of the fleet are stopped. The gateway must
    // accept no new requests, wait for the response and forward it completely; then all processes exit with code 0.
    const fleet = await Fleet.start({
        configuration: limitBackendServers(configuration, 2),
        gateways: 2,
        admin: false,
        recordsHistory: true,
    });
    let stopped: Promise<readonly string[]> | undefined;
    try {
        const configurer = new FleetConfigurer(fleet);
        assert.equal((await configurer.apply(fleet.configuration)).inForce, true);
        await configurer.close();
        await fleet.waitUntilReady();
        const [first, second] = fleet.gateways;
        assert.ok(first !== undefined && second !== undefined);
        const quick = await send(second.process.url, "quick", 0);
        assert.equal(quick.statusCode, 200);
        await quick.body.dump();
        const inFlight = send(first.process.url, "slow", 1_500);
        await waitUntilStarted(fleet, "slow");
        stopped = fleet.stop();
        const res = await inFlight;
        const bodyDigest = String(res.headers[backendHeaders.bodyDigest]);
        const received = { status: res.statusCode, didRun: undefined, bodyDigest, text: await res.body.text() };
        assert.equal(classifyResponse("slow", received).type, "whole");
        assert.deepEqual(await stopped, []);
    }
    finally {
        await (stopped ?? fleet.stop());
    }
});
