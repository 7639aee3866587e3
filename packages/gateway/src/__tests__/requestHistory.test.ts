import { checkAtMostOnce, checkDidRunAccuracy, checkResponseIntegrity, type HistoryLine } from "@galenaglade/history";
import { HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import {
    backendHeaders,
    BackendServer,
    MemoryHistoryRecorder,
    type RequestOutcome,
    PlatformServer,
    classifyResponse,
} from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout } from "node:timers/promises";
import { Agent, request } from "undici";
import { describeService, FixedSource, startGateway } from "./testGateway.js";

const seed = 20_261_203;
const patienceMs = 1_000;
const operations = 120;
/** Generous limit on the operations that are started while too few requests have run. */
const maxOperations = operations * 10;
const attemptsPerOperation = 4;
const faultMs = 100;

const backendFaults = [
    {},
    { closeOnRead: 3 },
    { closeAfterRun: 3 },
    { truncateAnswers: 3 },
    { shed: true },
    { silent: "openConnections" },
    { failFast: true },
    { turnCold: "restarted" },
] as const;
const platformFaults = [
    {},
    { loseAnswers: 3 },
    { down: "refusing" },
    { staleReads: true },
    { slowMs: 30 },
    {},
] as const;

interface TestFleet {
    readonly platform: PlatformServer;
    readonly backends: readonly BackendServer[];
    readonly histories: readonly MemoryHistoryRecorder[];
    readonly callers: MemoryHistoryRecorder;
    readonly urls: readonly string[];
    readonly agent: Agent;
}

async function startFleet(t: TestContext): Promise<TestFleet> {
    const platform = await PlatformServer.start();
    t.after(() => platform.stop());
    const histories: MemoryHistoryRecorder[] = [];
    const backends: BackendServer[] = [];
    for (let i = 0; i < 3; i++) {
        const history = new MemoryHistoryRecorder(`intake-${i}`);
        const backend = await BackendServer.start({ name: `intake-${i}`, availabilityZone: "north", history, seed: i });
        t.after(() => backend.stop());
        histories.push(history);
        backends.push(backend);
    }
    const urls: string[] = [];
    for (let i = 0; i < 3; i++) {
        const connection = new PlatformClient({
            addresses: [platform.url],
            client: `gateway-${i}`,
            timeoutMs: 200,
        });
        const source = new FixedSource();
        source.apply(1, describeService(backends.map(backend => backend.port), patienceMs));
        urls.push((await startGateway(t, source, new HttpKeyValueStore(connection))).url);
        t.after(() => connection.close());
    }
    const agent = new Agent({ pipelining: 1 });
    t.after(() => agent.destroy());
    return { platform, backends, histories, callers: new MemoryHistoryRecorder("callers"), urls, agent };
}

/** Sends one attempt and records what its caller observes. */
async function sendAttempt(
    fleet: TestFleet,
    url: string,
    what: { readonly requestId: string; readonly key: string | undefined; readonly workMs: number; },
): Promise<RequestOutcome> {
    const { requestId, key, workMs } = what;
    const idempotent = key === undefined;
    fleet.callers.record({
        type: "callerSent",
        requestId,
        service: "tables",
        idempotent,
        idempotencyKey: key,
        patienceMs,
    });
    const outcome = await exchange(fleet, url, requestId, {
        [backendHeaders.requestId]: requestId,
        [backendHeaders.workMs]: String(workMs),
        ...(key === undefined ? {} : { [backendHeaders.idempotencyKey]: key }),
    }, idempotent ? "GET" : "POST");
    if (outcome.type === "cutOff") {
        fleet.callers.record({ type: "callerCutOff", requestId });
    }
    else if (outcome.type === "whole" || outcome.type === "wrong" || outcome.type === "refused") {
        fleet.callers.record({
            type: "callerAnswered",
            requestId,
            status: outcome.status,
            didRun: outcome.type === "refused" ? outcome.didRun : "yes",
            whole: outcome.type !== "wrong",
            bodyRequestId: outcome.type === "refused" ? undefined : outcome.bodyRequestId,
        });
    }
    return outcome;
}

async function exchange(
    fleet: TestFleet,
    url: string,
    requestId: string,
    headers: Readonly<Record<string, string>>,
    method: "GET" | "POST",
): Promise<RequestOutcome> {
    try {
        const res = await request(`${url}/tables`, {
            method,
            headers,
            dispatcher: fleet.agent,
            ...(method === "POST" ? { body: "wages" } : {}),
        });
        return classifyResponse(requestId, {
            status: res.statusCode,
            didRun: String(res.headers[backendHeaders.didRun]),
            bodyDigest: String(res.headers[backendHeaders.bodyDigest]),
            text: await res.body.text(),
        });
    }
    catch {
        return { type: "cutOff" };
    }
}

/** Retries an operation through random gateways, sometimes through two at once, until it gets a response. */
async function runOperation(fleet: TestFleet, random: RandomSource, name: string): Promise<void> {
    const key = random.next() < 0.7 ? `key-${name}` : undefined;
    const workMs = random.nextInt(40);
    for (let attempt = 0; attempt < attemptsPerOperation; attempt++) {
        const sent = random.next() < 0.2 ? 2 : 1;
        const tries = Array.from({ length: sent }, (_, i) => {
            const url = fleet.urls[random.nextInt(fleet.urls.length)] ?? "";
            return sendAttempt(fleet, url, { requestId: `${name}-${attempt}-${i}`, key, workMs });
        });
        const outcomes = await Promise.all(tries);
        if (outcomes.some(outcome => outcome.type === "whole")) {
            return;
        }
        await setTimeout(random.nextInt(faultMs));
    }
}

async function injectFaults(fleet: TestFleet, random: RandomSource, until: Promise<unknown>): Promise<void> {
    const stopped = new AbortController();
    void until.finally(() => stopped.abort());
    while (!stopped.signal.aborted) {
        const faultyIndex = random.nextInt(fleet.backends.length);
        for (const backend of fleet.backends) {
            backend.setFaults({});
        }
        fleet.backends[faultyIndex]?.setFaults(backendFaults[random.nextInt(backendFaults.length)] ?? {});
        fleet.platform.setFaults(platformFaults[random.nextInt(platformFaults.length)] ?? {});
        await setTimeout(faultMs);
    }
}

// Idempotent and keyed non-idempotent requests go through three gateways, with retries through any of them and some
// attempts through two at once. Meanwhile backend servers cut connections, shed load, stall and restart, and the store
// loses responses, returns stale data, slows down and refuses calls.
test("under faults, no keyed request runs twice and no caller gets wrong data or a wrong did-run value", async t => {
    const fleet = await startFleet(t);
    const random = createRandomSource(seed);
    const running: Promise<void>[] = [];
    const all = (async () => {
        // On a busy machine fewer attempts of each operation run, so more operations are started.
        for (let i = 0; i < operations || (!haveEnoughRun(fleet) && i < maxOperations); i++) {
            running.push(runOperation(fleet, random, `op-${i}`));
            await setTimeout(random.nextInt(40));
        }
        await Promise.all(running);
    })();
    await injectFaults(fleet, random, all);
    await all;
    const lines: readonly HistoryLine[] = [fleet.callers, ...fleet.histories].flatMap(history => history.lines);
    const history = lines.toSorted((a, b) => a.atMs - b.atMs).map((line, sequence) => ({ ...line, sequence }));
    t.diagnostic(JSON.stringify(countEvents(history)));
    const found = [checkAtMostOnce, checkDidRunAccuracy, checkResponseIntegrity].flatMap(check => check(history));
    assert.deepEqual(found, [], `seed ${seed}`);
    assert.ok(history.filter(line => line.type === "serverStarted").length > operations / 2, "too few requests ran");
});

/** Whether servers have run enough requests for the checks to be meaningful. */
function haveEnoughRun(fleet: TestFleet): boolean {
    const lines = fleet.histories.flatMap(history => history.lines);
    return lines.filter(line => line.type === "serverStarted").length > operations / 2;
}

/** Counts the events of a run by kind, for the test's diagnostics. */
function countEvents(history: readonly HistoryLine[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const line of history) {
        const kind = line.type === "callerAnswered" ? `${line.type} ${line.status} ${line.didRun ?? ""}` : line.type;
        counts[kind] = (counts[kind] ?? 0) + 1;
    }
    return counts;
}
