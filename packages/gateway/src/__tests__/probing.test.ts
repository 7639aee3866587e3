import { resolveConfiguration } from "@galenaglade/configuration";
import { checkProbeBudget, type HistoryLine } from "@galenaglade/history";
import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { type RequestListener, type ServerResponse } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { type Clock } from "@galenaglade/http-parts";
import { sendProbe } from "../probing/probeRequest.js";
import { ProbingShell } from "../probing/probingShell.js";
import { LocalStore } from "./localStore.js";
import { describeService, startBackend } from "./testGateway.js";

/** A clock that the test moves; it counts how often it is read, which shows that the shell has looked since. */
class MovedClock implements Clock {
    nowMs = 0;
    reads = 0;

    monotonicMs(): number {
        this.reads++;
        return this.nowMs;
    }

    epochMs(): number {
        return this.nowMs;
    }
}

const probesPerSecond = 0.5;

class ProbingTest {
    readonly clock = new MovedClock();
    readonly probes: HistoryLine[] = [];
    readonly reports: string[] = [];
    readonly shell = new ProbingShell({
        self: "g1/1",
        clock: this.clock,
        store: new LocalStore(() => this.clock.nowMs),
        random: createRandomSource(1),
        onReport: (serverId, { inFlight }, { state }) => this.reports.push(`${serverId} ${inFlight} ${state}`),
    });

    static async start(t: TestContext, answers: readonly ((res: ServerResponse) => void)[]): Promise<ProbingTest> {
        const self = new ProbingTest();
        const listeners = answers.map((answer, i): RequestListener => (req, res) => {
            assert.equal(req.url, "/load");
            self.#note(`tables/tables-${i}`);
            answer(res);
        });
        const ports = await Promise.all(listeners.map(listener => startBackend(t, listener)));
        const { services } = resolveConfiguration(describeService(ports)).unsafeCoerce();
        self.shell.onConfiguration(services.map(service => {
            return { ...service, loadMeasuring: { probesPerSecond, seats: 1 } };
        }));
        self.shell.start();
        t.after(() => self.shell.stop());
        await self.move(0);
        // Others may go by an earlier budget for a while, and the seat's last holder may just have probed.
        for (let i = 0; i < 9; i++) {
            await self.move(400);
        }
        return self;
    }

    /** Moves the clock and waits until the shell has looked several times. */
    async move(forMs: number, heard: readonly `${string}/${string}`[] = []): Promise<void> {
        this.clock.nowMs += forMs;
        this.shell.onContact(this.clock.nowMs);
        for (const serverId of heard) {
            this.shell.onHeard(serverId, this.clock.nowMs);
        }
        const { reads } = this.clock;
        await until(() => this.clock.reads >= reads + 10);
    }

    count(server: string): number {
        return this.probes.filter(line => line.type === "serverProbed" && line.server === server).length;
    }

    #note(server: string): void {
        const { nowMs } = this.clock;
        const sequence = this.probes.length;
        this.probes.push({ sequence, atMs: nowMs, process: "g1/1", type: "serverProbed", server, gateway: "g1/1" });
    }
}

async function until(isSo: () => boolean): Promise<void> {
    const giveUpAtMs = performance.now() + 20_000;
    while (!isSo()) {
        assert.ok(performance.now() < giveUpAtMs, "it did not come");
        await pause(5);
    }
}

function answerWith(body: string): (res: ServerResponse) => void {
    return res => res.end(body);
}

// Callers would wait behind probes if a server got more of them than operators allow. The holder of the seat looks
// many times in each spacing; only the time since its last probe keeps it from sending one each time.
test("a seat holder probes silent servers within the budget, and no server that is heard of", async t => {
    const good = answerWith(JSON.stringify({ state: "cold", inFlight: 2, bears: 1, incarnation: "a" }));
    const run = await ProbingTest.start(t, [good, good]);
    const before = run.count("tables/tables-1");
    for (let i = 0; i < 15; i++) {
        await run.move(400, ["tables/tables-1"]);
    }
    await until(() => run.count("tables/tables-0") >= 3);
    assert.equal(run.count("tables/tables-1"), before);
    assert.deepEqual(checkProbeBudget(run.probes, { probesPerSecond, seats: 1 }), []);
    assert.ok(run.reports.includes("tables/tables-0 2 cold"));
});

// One server answers with garbage, one without end, one never, one with an error, one with a load that is none. Taken
// in, they would fill the memory or the board; and the good one has to be measured all the same.
test("garbage, endless, slow and false answers hurt nothing", async t => {
    const endless = (res: ServerResponse): void => {
        const timer = setInterval(() => res.write("[".repeat(4_096)), 1);
        res.on("close", () => clearInterval(timer));
    };
    const run = await ProbingTest.start(t, [
        answerWith("{\"inFlight\":"),
        endless,
        () => undefined,
        res => res.writeHead(500).end("{\"inFlight\":1}"),
        answerWith("{\"inFlight\":-4}"),
        answerWith(`{"inFlight":3}${" ".repeat(8_192)}`),
        answerWith("{\"inFlight\":1,\"state\":7}"),
    ]);
    for (let i = 0; i < 6; i++) {
        await run.move(400);
    }
    await until(() => run.reports.length > 0);
    assert.equal(new Set(run.probes.map(line => line.type === "serverProbed" && line.server)).size, 7);
    assert.deepEqual(new Set(run.reports), new Set(["tables/tables-6 1 undefined"]));
});

// A gateway stands still while a probe's connection opens, and goes on when its seat is another's. Both would probe.
test("a probe whose seat is gone when the connection is open is not sent", async t => {
    let asked = 0;
    const port = await startBackend(t, (_, res) => {
        asked++;
        res.end("{\"inFlight\":1}");
    });
    const { signal } = new AbortController();
    const input = { origin: `http://127.0.0.1:${port}`, client: "g1/1", signal };
    const refused = await sendProbe({ ...input, mayStillSend: () => false });
    assert.ok(refused.isNothing());
    assert.equal(asked, 0);
    const sent = await sendProbe({ ...input, mayStillSend: () => true });
    assert.equal(sent.extract()?.inFlight, 1);
});

// A server sends a byte of its answer now and then. Each silence is short, so that only a limit on the whole ends the
// probe; without it such probes pile up, each with a connection.
test("a probe whose answer never ends is given up", { timeout: 30_000 }, async t => {
    const port = await startBackend(t, (_, res) => {
        const timer = setInterval(() => res.write(" "), 50);
        res.on("close", () => clearInterval(timer));
    });
    const { signal } = new AbortController();
    const input = { origin: `http://127.0.0.1:${port}`, client: "g1/1", signal, mayStillSend: () => true };
    assert.ok((await sendProbe(input)).isNothing());
});

// A gateway that leaves would be kept from ending by a timer, or by a probe that a silent server never answers.
test("stop ends the probe in flight and leaves no timer", async t => {
    const held: ServerResponse[] = [];
    const run = await ProbingTest.start(t, [res => held.push(res)]);
    await until(() => held.length > 0);
    const stopped = run.shell.stop();
    held.forEach(res => res.end("{\"inFlight\":1}"));
    await stopped;
    assert.deepEqual(run.reports, []);
    const { reads } = run.clock;
    const timers = process.getActiveResourcesInfo().filter(each => each === "Timeout").length;
    await pause(300);
    assert.equal(run.clock.reads, reads);
    assert.ok(process.getActiveResourcesInfo().filter(each => each === "Timeout").length <= timers);
});
