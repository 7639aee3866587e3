import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { choosePlacement, type LoadReport, type PlacementInput, scoreServer, type ServerScore } from "../index.js";

const objectiveMs = 400;
const typicalLatencyMs = 160;

function score(
    load: Partial<LoadReport>,
    overrides: { readonly sameZone?: boolean; readonly suspect?: boolean; } = {},
): ServerScore {
    return scoreServer({
        serverId: JSON.stringify(load),
        availabilityZone: "north",
        load: { running: 0, waiting: 0, slots: 3, slowdown: 1, ...load },
        slots: 3,
        healthy: true,
        coldRemainingMs: 0,
    }, { typicalLatencyMs, sentSinceReport: 0, sameZone: true, suspect: false, reservedSlots: 0, ...overrides });
}

function choose(scores: readonly ServerScore[], overrides: Partial<PlacementInput> = {}): string {
    const decision = choosePlacement({
        scores,
        hasUnprobed: false,
        mayProbeLater: false,
        waitedMs: 0,
        objectiveMs,
        remainingMs: 1_000,
        typicalLatencyMs,
        ...overrides,
    });
    return decision.type === "send" ? decision.score.status.serverId : decision.type;
}

test("a fast server with a free slot is chosen at once", () => {
    assert.equal(choose([score({ running: 1 }), score({ slowdown: 4 })], { hasUnprobed: true }), "{\"running\":1}");
});

test("if only slow or full servers responded, the others are probed, and then the request waits", () => {
    const slowOrFull = [score({ slowdown: 4 }), score({ running: 3 })];
    assert.equal(choose(slowOrFull, { hasUnprobed: true }), "widen");
    assert.equal(choose(slowOrFull), "wait");
});

test("a server that is slower than usual is chosen if it can respond within the objective", () => {
    assert.equal(choose([score({ slowdown: 2 })]), "{\"slowdown\":2}");
});

test("once the wait is over, a free slot is used although the response will be late", () => {
    const late = { waitedMs: 200 };
    assert.equal(
        choose([score({ running: 1, slowdown: 2.5 }), score({ running: 3 })], late),
        "{\"running\":1,\"slowdown\":2.5}",
    );
});

// Guards against a service that serves no caller at all while all of its servers are slow.
test("an idle server is chosen however slow it is", () => {
    assert.equal(choose([score({ slowdown: 6 })], { waitedMs: 200 }), "{\"slowdown\":6}");
});

test("once the wait is over, no request is sent to a server's queue, nor to a very slow server that isn't idle", () => {
    const late = { waitedMs: 200 };
    assert.equal(choose([score({ running: 3 })], late), "refuse");
    assert.equal(choose([score({ running: 1, slowdown: 4 })], late), "refuse");
});

test("a request that can't be served in the time left is rejected at once", () => {
    assert.equal(choose([score({})], { remainingMs: 50 }), "refuse");
});

test("a suspected server isn't good, but is chosen if there is no other", () => {
    const suspect = score({}, { suspect: true });
    assert.equal(choose([suspect], { hasUnprobed: true }), "widen");
    assert.equal(choose([suspect], { waitedMs: 200 }), "{}");
});

test("a server in another zone is chosen only if it is clearly faster", () => {
    const far = score({ running: 0 }, { sameZone: false });
    assert.equal(choose([score({ running: 1 }), far]), "{\"running\":1}");
    assert.equal(choose([score({ running: 2 }), far]), "{\"running\":0}");
});

/** Simulated servers, a quarter of which is four times slower for 300 ms at a time, including requests in progress. */
class ShiftingServers {
    readonly #isSlow: boolean[];
    readonly #work: { remaining: number; readonly startedAtMs: number; }[][];
    readonly #random: RandomSource;
    readonly tookMs: number[] = [];

    constructor(count: number, random: RandomSource) {
        this.#random = random;
        this.#isSlow = Array.from({ length: count }, () => random.next() < 0.25);
        this.#work = Array.from({ length: count }, () => []);
    }

    report(i: number): LoadReport {
        const work = this.#work[i]?.length ?? 0;
        return { running: Math.min(3, work), waiting: Math.max(0, work - 3), slots: 3, slowdown: this.#slowdown(i) };
    }

    send(i: number, arrivedAtMs: number): void {
        this.#work[i]?.push({
            remaining: typicalLatencyMs * (0.7 + 0.6 * this.#random.next()),
            startedAtMs: arrivedAtMs,
        });
    }

    step(nowMs: number, stepMs: number): void {
        for (const [i, work] of this.#work.entries()) {
            if (this.#random.next() < stepMs / 300) {
                this.#isSlow[i] = this.#random.next() < 0.25;
            }
            for (const item of work.slice(0, 3)) {
                item.remaining -= stepMs / this.#slowdown(i);
            }
            for (const done of work.filter(({ remaining }) => remaining <= 0)) {
                this.tookMs.push(nowMs - done.startedAtMs);
            }
            this.#work[i] = work.filter(({ remaining }) => remaining > 0);
        }
    }

    #slowdown(i: number): number {
        return this.#isSlow[i] === true ? 4 : 1;
    }
}

type Chooser = (
    servers: ShiftingServers,
    sampled: readonly number[],
    waitedMs: number,
) => number | "refused" | undefined;

function scoreShifting(servers: ShiftingServers, i: number): ServerScore {
    return scoreServer({
        serverId: String(i),
        availabilityZone: "north",
        load: servers.report(i),
        slots: 3,
        healthy: true,
        coldRemainingMs: 0,
    }, { typicalLatencyMs, sentSinceReport: 0, sameZone: true, suspect: false, reservedSlots: 0 });
}

/** @returns the share of requests that met their objective */
function replay(seed: number, requestsPerSecond: number, chooseServer: Chooser): number {
    const random = createRandomSource(seed);
    const count = 12;
    const servers = new ShiftingServers(count, random);
    const waiting: number[] = [];
    const stepMs = 5;
    let sent = 0;
    for (let nowMs = 0; nowMs < 60_000; nowMs += stepMs) {
        if (random.next() < requestsPerSecond * stepMs / 1_000) {
            waiting.push(nowMs);
            sent++;
        }
        for (const arrivedAtMs of waiting.splice(0)) {
            const sampled = Array.from({ length: 4 }, () => random.nextInt(count));
            const chosen = chooseServer(servers, sampled, nowMs - arrivedAtMs);
            if (chosen === undefined) {
                waiting.push(arrivedAtMs);
                continue;
            }
            if (chosen !== "refused") {
                servers.send(chosen, arrivedAtMs);
            }
        }
        servers.step(nowMs, stepMs);
    }
    return servers.tookMs.filter(ms => ms <= objectiveMs).length / sent;
}

// Guards against placement that ignores load: at any moment a quarter of the servers is four times slower for 300 ms,
// and a request that is sent to one of them misses its objective although most servers are idle.
test("probing before sending meets far more objectives than sending to random servers", () => {
    const sendAnywhere: Chooser = (_servers, sampled) => sampled[0];
    const probeFirst: Chooser = (servers, sampled, waitedMs) => {
        const scores = sampled.map(i => scoreShifting(servers, i));
        const decision = choosePlacement({
            scores,
            hasUnprobed: false,
            mayProbeLater: false,
            waitedMs,
            objectiveMs,
            remainingMs: 1_000 - waitedMs,
            typicalLatencyMs,
        });
        return decision.type === "send" ? Number(decision.score.status.serverId) : undefined;
    };
    for (const requestsPerSecond of [40, 90]) {
        const randomShare = replay(7, requestsPerSecond, sendAnywhere);
        const probingShare = replay(7, requestsPerSecond, probeFirst);
        assert.ok(probingShare > 0.9, `${probingShare} in time at ${requestsPerSecond} requests/s`);
        assert.ok(probingShare > randomShare + 0.1, `${probingShare} in time with probes, ${randomShare} without`);
    }
});

// Guards against queues at servers under overload: they grow until hardly any response is in time. If requests are
// rejected after a short wait, the accepted ones are still served in time.
test("under overload, rejecting after a short wait serves more requests in time than queueing at servers", () => {
    const requestsPerSecond = 190;
    const run = (mayQueue: boolean): number =>
        replay(11, requestsPerSecond, (servers, sampled, waitedMs) => {
            const scores = sampled.map(i => scoreShifting(servers, i));
            const decision = choosePlacement({
                scores,
                hasUnprobed: false,
                mayProbeLater: false,
                waitedMs,
                objectiveMs,
                remainingMs: 2_000 - waitedMs,
                typicalLatencyMs,
            });
            if (decision.type === "send") {
                return Number(decision.score.status.serverId);
            }
            return decision.type === "refuse" ? (mayQueue ? sampled[0] : "refused") : undefined;
        });
    const refusing = run(false);
    const queueing = run(true);
    assert.ok(refusing > queueing + 0.1, `${refusing} in time with rejection, ${queueing} with queues`);
});
