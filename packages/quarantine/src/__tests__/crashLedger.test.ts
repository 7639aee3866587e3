import { type CrashReport, maxReportedContents, readCrashReport, renderCrashReport } from "@galenaglade/fleet-state";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type ContentState,
    CrashLedger,
    defaultTrialDelaysMs,
    quarantineRetentionMs,
    suspicionRetentionMs,
} from "../index.js";

const startEpochMs = 1_000_000;

/** Gateways whose reports reach each other when the test says so. */
class Fleet {
    readonly names: readonly string[];
    readonly ledgers: readonly CrashLedger[];
    epochMs = startEpochMs;
    readonly #stored = new Map<string, { readonly report: CrashReport; readonly revision: number; }>();
    #crashed = 0;

    constructor(gateways: number) {
        this.names = Array.from({ length: gateways }, (_, i) => `gateway-${i}`);
        this.ledgers = this.names.map(name => new CrashLedger(name));
    }

    of(gateway: number): CrashLedger {
        const ledger = this.ledgers[gateway];
        assert.ok(ledger);
        return ledger;
    }

    /** A request is sent and ends its server at once. */
    crash(
        gateway: number,
        contentId: string,
        more: { readonly mark?: number; readonly incarnation?: string; } = {},
    ): void {
        const ledger = this.of(gateway);
        ledger.onCrash({
            contentId,
            incarnation: more.incarnation ?? `server-${++this.#crashed}`,
            ledgerVersion: more.mark ?? ledger.version(),
            epochMs: this.epochMs,
            trial: this.state(gateway, contentId) === "trial",
        });
    }

    /** The reports of some gateways reach the store, and everyone. */
    spread(gateways: readonly number[] = this.names.map((_, i) => i)): void {
        for (const i of gateways) {
            const report = readCrashReport(renderCrashReport(this.of(i).report()));
            assert.ok(report);
            this.#stored.set(this.names[i] ?? "", { report, revision: 1 });
        }
        for (const ledger of this.ledgers) {
            ledger.onReports(this.#stored, this.epochMs);
        }
    }

    state(gateway: number, contentId: string): ContentState {
        return this.of(gateway).checkContent(contentId, { gateways: this.names, epochMs: this.epochMs }).state;
    }

    states(contentId: string): readonly ContentState[] {
        return [...new Set(this.names.map((_, i) => this.state(i, contentId)))];
    }

    /** A gateway that has just read what the others reported. */
    restart(name: string): CrashLedger {
        const ledger = new CrashLedger(name);
        const own = this.#stored.get(name);
        if (own !== undefined) {
            ledger.restore(own.report, this.epochMs);
        }
        ledger.onReports(this.#stored, this.epochMs);
        return ledger;
    }
}

test("a request that ended three servers one after the other is quarantined at every gateway, whoever saw it", () => {
    const fleet = new Fleet(3);
    for (const gateway of [0, 1, 2]) {
        assert.notEqual(fleet.state(gateway, "deadly"), "quarantined");
        fleet.crash(gateway, "deadly");
        fleet.spread();
    }
    assert.deepEqual(fleet.states("deadly"), ["quarantined"]);
    assert.deepEqual(fleet.states("other"), ["clear"]);
});

// A power failure ends many servers at once, and with them every request that they ran.
test("servers that end together quarantine no request that they ran", () => {
    const fleet = new Fleet(5);
    const marks = fleet.ledgers.map(ledger => ledger.version());
    for (const [gateway, mark] of marks.entries()) {
        fleet.crash(gateway, "popular", { mark });
        fleet.spread([gateway]);
    }
    assert.deepEqual(fleet.states("popular"), ["suspected"]);
});

test("one server's end counts once, whatever number of gateways had the request there", () => {
    const fleet = new Fleet(3);
    for (const gateway of [0, 1, 2]) {
        fleet.crash(gateway, "popular", { incarnation: "server-a" });
        fleet.spread();
    }
    assert.deepEqual(fleet.states("popular"), ["suspected"]);
});

// A popular read that was on three servers which crashed one after the other must not stay refused.
test("a request that is served after its strikes were known is cleared at every gateway", () => {
    const fleet = new Fleet(3);
    const early = fleet.of(1).version();
    [0, 0, 0].forEach(gateway => fleet.crash(gateway, "popular"));
    fleet.spread();
    assert.deepEqual(fleet.states("popular"), ["quarantined"]);
    assert.equal(fleet.of(1).onServed("popular", early, fleet.epochMs), false);
    assert.deepEqual(fleet.states("popular"), ["quarantined"]);
    assert.equal(fleet.of(1).onServed("popular", fleet.of(1).version(), fleet.epochMs), true);
    fleet.spread();
    assert.deepEqual(fleet.states("popular"), ["clear"]);
    fleet.spread();
    assert.deepEqual(fleet.states("popular"), ["clear"]);
});

test("a gateway that has just started knows what was quarantined before, and still tells what it saw itself", () => {
    const fleet = new Fleet(2);
    [0, 0, 1].forEach(gateway => {
        fleet.crash(gateway, "deadly");
        fleet.spread();
    });
    for (const name of ["gateway-0", "gateway-1", "gateway-new"]) {
        const restarted = fleet.restart(name);
        assert.equal(
            restarted.checkContent("deadly", { gateways: fleet.names, epochMs: fleet.epochMs }).state,
            "quarantined",
        );
    }
    assert.equal(fleet.restart("gateway-0").report().strikes.length, 2);
});

// Without an end, a request that a release has mended would be refused for good; without a bound each try costs a server.
test("a quarantined request is tried by one gateway after a while, and only so many times", () => {
    const fleet = new Fleet(4);
    [0, 1, 2].forEach(gateway => {
        fleet.crash(gateway, "deadly");
        fleet.spread();
    });
    let trials = 0;
    const stepMs = 5_000;
    for (let waitedMs = 0; waitedMs < quarantineRetentionMs / 20; waitedMs += stepMs) {
        fleet.epochMs += stepMs;
        const trying = fleet.names.map((_, i) => i).filter(i => fleet.state(i, "deadly") === "trial");
        assert.ok(trying.length <= 1);
        for (const gateway of trying) {
            fleet.crash(gateway, "deadly");
            trials++;
        }
        fleet.spread();
    }
    assert.equal(trials, defaultTrialDelaysMs.length);
    fleet.epochMs += quarantineRetentionMs;
    assert.deepEqual(fleet.states("deadly"), ["clear"]);
});

test("a trial is one request at a time, and one that is served ends the quarantine", () => {
    const fleet = new Fleet(1);
    [0, 0, 0].forEach(gateway => fleet.crash(gateway, "deadly"));
    fleet.epochMs += defaultTrialDelaysMs[0] ?? 0;
    assert.equal(fleet.state(0, "deadly"), "trial");
    const end = fleet.of(0).beginTrial("deadly");
    assert.equal(fleet.state(0, "deadly"), "quarantined");
    fleet.of(0).onServed("deadly", fleet.of(0).version(), fleet.epochMs);
    end();
    assert.equal(fleet.state(0, "deadly"), "clear");
});

// A caller that sends ever new requests of this kind would otherwise fill every gateway's memory, and push the known ones out.
test("what a gateway reports stays small, and known deadly requests stay known", () => {
    const fleet = new Fleet(2);
    [0, 0, 0].forEach(gateway => fleet.crash(gateway, "deadly"));
    for (let i = 0; i < 10 * maxReportedContents; i++) {
        fleet.epochMs += 1;
        fleet.crash(0, `new-${i}`);
    }
    fleet.spread();
    assert.ok(fleet.of(0).report().strikes.length <= maxReportedContents);
    assert.deepEqual(fleet.states("deadly"), ["quarantined"]);
});

test("a report that is malformed is none, and a malformed part of one is left out", () => {
    assert.equal(readCrashReport("no report"), undefined);
    assert.equal(readCrashReport("[]"), undefined);
    const strike = { contentId: "c", incarnation: "s", generation: 1, atEpochMs: 1, trial: false };
    const text = JSON.stringify({
        strikes: [strike, { ...strike, generation: "1" }, null],
        cleared: [{ contentId: "c" }],
    });
    assert.deepEqual(readCrashReport(text), { strikes: [strike], cleared: [] });
});

// The rule counts what servers get of it after everyone must know, whatever the order in which gateways hear of the crashes.
test("a request that always ends its server reaches at most three more once three have ended and everyone has heard", () => {
    const step = fc.record({ gateway: fc.nat(4), spreads: fc.boolean() });
    fc.assert(fc.property(fc.array(step, { minLength: 3, maxLength: 60 }), steps => {
        const fleet = new Fleet(5);
        let ended = 0;
        let late = 0;
        for (const { gateway, spreads } of steps) {
            const everyoneKnows = ended >= 3;
            if (fleet.state(gateway, "deadly") !== "quarantined") {
                fleet.crash(gateway, "deadly");
                ended++;
                late += everyoneKnows ? 1 : 0;
            }
            if (spreads || ended >= 3) {
                fleet.spread();
            }
        }
        assert.ok(late <= 3, `${late} more after three of ${ended}`);
    }));
});

// Kept as long as a quarantine, strikes of requests that were on servers which ended by themselves would fill every report.
test("a single strike is forgotten, and reported no more, long before a quarantine is", () => {
    const fleet = new Fleet(2);
    fleet.crash(0, "popular");
    fleet.spread();
    fleet.epochMs += suspicionRetentionMs;
    assert.deepEqual(fleet.states("popular"), ["clear"]);
    fleet.crash(0, "other");
    assert.deepEqual(fleet.of(0).report().strikes.map(({ contentId }) => contentId), ["other"]);
    fleet.spread();
    assert.deepEqual(fleet.states("popular"), ["clear"]);
});
