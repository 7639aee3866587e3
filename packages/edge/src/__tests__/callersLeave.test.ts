import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { type CallerScenario, SimulatedCallerGateway, type SimulatedSend } from "./support/simulatedCallers.js";
import { VirtualClock } from "./support/virtualClock.js";

/** Time after a caller's end can be read by which all that was done for it has to be over, in milliseconds. */
const settledWithinMs = 500;
/** Turns of the event loop in which a request gets from its arrival to its first wait. */
const turnsPerEvent = 12;
const runs = 150;
const afterwardsMs = 8_000;

/** A connection of a caller that leaves. */
interface Course {
    readonly requests: number;
    readonly idempotent: boolean;
    /** Time between two requests on the connection, in milliseconds. */
    readonly gapMs: number;
    /** Time from the first request until the gateway stands still; the caller leaves during that. */
    readonly stallAfterMs: number;
    readonly stallMs: number;
    /** Share of the stall after which the end arrives. */
    readonly leavesAt: number;
    readonly isReset: boolean;
    /** Whether the requests arrive during the stall as well, so that they are read together with the end. */
    readonly isUnread: boolean;
}

function drawScenario(seed: number, random: RandomSource): CallerScenario {
    return {
        seed,
        reachability: (["reached", "reached", "reached", "lost"] as const)[random.nextInt(4)] ?? "reached",
        isFull: random.next() < 0.4,
        waitsForPermit: random.next() < 0.3,
        configuredAfterMs: random.next() < 0.3 ? random.nextInt(900) : 0,
        maxWorkMs: 50 + random.nextInt(4_000),
        maxConnectMs: random.nextInt(300),
    };
}

function drawCourse(random: RandomSource): Course {
    return {
        requests: 1 + random.nextInt(16),
        idempotent: random.next() < 0.7,
        gapMs: random.nextInt(60),
        stallAfterMs: random.nextInt(1_200),
        stallMs: random.next() < 0.5 ? 0 : random.nextInt(2_500),
        leavesAt: random.next(),
        isReset: random.next() < 0.5,
        isUnread: random.next() < 0.3,
    };
}

/** Plays one course. @returns what was done for the caller too late, or too long */
async function play(clock: VirtualClock, scenario: CallerScenario, course: Course): Promise<readonly string[]> {
    const gateway = new SimulatedCallerGateway(clock, scenario);
    const socket = new Socket();
    const prefix = course.idempotent ? "/tables/" : "/returns/";
    const receive = (i: number): void => gateway.receive(socket, `r${i}`, `${prefix}${i}`);
    const stallAtMs = clock.monotonicMs() + course.stallAfterMs;
    let received = 0;
    while (!course.isUnread && received < course.requests && clock.monotonicMs() < stallAtMs) {
        receive(received++);
        await clock.advance(Math.min(course.gapMs, stallAtMs - clock.monotonicMs()));
    }
    await clock.advance(stallAtMs - clock.monotonicMs());
    const leftAtMs = stallAtMs + course.leavesAt * course.stallMs;
    await clock.stall(course.stallMs, () => {
        if (!course.isUnread) {
            leave(socket, course);
            return;
        }
        // One poll reads the bytes, and the next one the end behind them.
        setImmediate(() => setImmediate(() => leave(socket, course)));
        while (received < course.requests) {
            receive(received++);
        }
    });
    const readAtMs = stallAtMs + course.stallMs;
    await clock.advance(settledWithinMs);
    const open = gateway.sends.filter(({ endedAtMs }) => course.idempotent && endedAtMs === undefined);
    await clock.advance(afterwardsMs);
    const late = gateway.sends.filter(({ startedAtMs }) => startedAtMs > leftAtMs + settledWithinMs);
    const describe = (what: string, { requestId, startedAtMs }: SimulatedSend): string =>
        `${what}: ${requestId} sent ${Math.round(startedAtMs - leftAtMs)} ms after the end, read at ${
            readAtMs - leftAtMs
        }`;
    return [
        ...open.map(send => describe("at work", send)),
        ...late.map(send => describe("late", send)),
        ...gateway.logs,
    ];
}

function leave(socket: Socket, { isReset }: Course): void {
    if (isReset) {
        socket.destroy(Object.assign(new Error("read ECONNRESET"), { code: "ECONNRESET" }));
        return;
    }
    socket.emit("end");
    socket.destroy();
}

// Guards against work for callers that have left, whatever their requests were waiting for.
test("nothing is sent for a caller later than half a second after its end arrived, and servers are freed", async t => {
    const clock = VirtualClock.install(t, turnsPerEvent);
    for (let seed = 1; seed <= runs; seed++) {
        const random = createRandomSource(seed);
        const scenario = drawScenario(seed, random);
        const course = drawCourse(random);
        assert.deepEqual(await play(clock, scenario, course), [], JSON.stringify({ seed, scenario, course }));
        clock.clear();
    }
});
