import { type RegisteredServer } from "@galenaglade/fleet-state";
import { checkProbeBudget, type HistoryLine } from "@galenaglade/history";
import { createRandomSource } from "@galenaglade/routing";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AskBudget, mostAskedAtOnce, orderToAsk, ServerSubset } from "../index.js";

const perSecond = 60;
const zones = ["north", "middle", "south"];
/** Savings of some seconds may be spent at once, so the allowance holds over a longer time. */
const windowSeconds = 30;
const stepMs = 20;

interface Load {
    readonly seed: number;
    readonly gateways: number;
    readonly servers: number;
    /** Requests of each gateway that look for a server in every step. */
    readonly waiting: number;
}

/** @returns every question that a fleet asks of whose gateways each have requests that wait all the time */
function ask({ seed, gateways, servers: count, waiting }: Load): readonly HistoryLine[] {
    const random = createRandomSource(seed);
    const servers: readonly RegisteredServer[] = Array.from({ length: count }, (_, i) => ({
        id: `server-${i}`,
        service: "tables",
        address: { host: "127.0.0.1", port: 1 },
        availabilityZone: zones[i % zones.length] ?? "",
        slots: 3,
        state: "ready",
        coldRemainingMs: 0,
        startedAtEpochMs: undefined,
    }));
    const fleet = Array.from({ length: gateways }, (_, i) => {
        const availabilityZone = zones[i % zones.length] ?? "";
        const own = servers.filter(server => server.availabilityZone === availabilityZone);
        return {
            availabilityZone,
            budget: new AskBudget(perSecond, 0),
            subset: new ServerSubset(`gateway-${i}`).of(own),
        };
    });
    const lines: HistoryLine[] = [];
    for (let nowMs = 0; nowMs < (windowSeconds + 15) * 1_000; nowMs += stepMs) {
        for (const { availabilityZone, budget, subset } of fleet) {
            for (let i = 0; i < waiting; i++) {
                const ordered = orderToAsk({
                    servers,
                    availabilityZone,
                    subset,
                    isSuspect: () => false,
                    chanceOf: () => 0.75,
                    random,
                });
                const wanted = Math.min(mostAskedAtOnce, count);
                for (const { id } of budget.take({ ordered, purpose: "waiting", wanted, gateways, nowMs })) {
                    lines.push({
                        type: "serverProbed",
                        server: id,
                        gateway: "",
                        sequence: lines.length,
                        atMs: nowMs,
                        process: id,
                    });
                }
            }
        }
    }
    return lines;
}

// Requests wait at every gateway and look again and again. The allowance is a server's own: kept for a service as a whole,
// it would be exceeded at the servers that many gateways ask first.
test("no server is asked more than its allowance by a fleet of gateways with waiting requests", () => {
    fc.assert(
        fc.property(
            fc.record({
                seed: fc.integer({ min: 1, max: 100_000 }),
                gateways: fc.integer({ min: 1, max: 30 }),
                servers: fc.integer({ min: 3, max: 45 }),
                waiting: fc.integer({ min: 1, max: 2 }),
            }),
            load => {
                const found = checkProbeBudget(ask(load), {
                    probesPerSecond: perSecond,
                    seats: perSecond * windowSeconds,
                });
                assert.deepEqual(found.slice(0, 1).map(({ detail }) => detail), []);
            },
        ),
        { seed: 1, numRuns: 12 },
    );
});
