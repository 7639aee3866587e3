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

/** Gateways that exchange their reports when the test calls `spread`. */
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

    /** Sends a request that crashes its server at once. */
    crash(
        gateway: number,
        contentId: string,
        options: { readonly ledgerVersion?: number; readonly incarnation?: string; } = {},
    ): void {
        const ledger = this.of(gateway);
        ledger.onCrash({
            contentId,
            incarnation: options.incarnation ?? `server-${++this.#crashed}`,
            ledgerVersion: options.ledgerVersion ?? ledger.version(),
            epochMs: this.epochMs,
            trial: this.state(gateway, contentId) === "trial",
        });
    }

    /** Writes the reports of some gateways to the store, and delivers the store's reports to all gateways. */
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

    /** @returns the ledger of a gateway that has restarted and read all reports from the store */
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

test("a request that crashed three servers in succession is quarantined at every gateway", () => {
    const fleet = new Fleet(3);
    for (const gateway of [0, 1, 2]) {
        assert.notEqual(fleet.state(gateway, "deadly"), "quarantined");
        fleet.crash(gateway, "deadly");
        fleet.spread();
    }
    assert.deepEqual(fleet.states("deadly"), ["quarantined"]);
    assert.deepEqual(fleet.states("other"), ["clear"]);
});

// Guards against a power failure of many servers that quarantines every request that they ran.
test("servers that fail at the same time quarantine none of the requests that they ran", () => {
    const fleet = new Fleet(5);
    const ledgerVersions = fleet.ledgers.map(ledger => ledger.version());
    for (const [gateway, ledgerVersion] of ledgerVersions.entries()) {
        fleet.crash(gateway, "popular", { ledgerVersion });
        fleet.spread([gateway]);
    }
    assert.deepEqual(fleet.states("popular"), ["suspected"]);
});

test("the crash of one server counts once, even if several gateways had sent it the request", () => {
    const fleet = new Fleet(3);
    for (const gateway of [0, 1, 2]) {
        fleet.crash(gateway, "popular", { incarnation: "server-a" });
        fleet.spread();
    }
    assert.deepEqual(fleet.states("popular"), ["suspected"]);
});

// Guards against a popular read that stays quarantined because it happened to be on three servers that crashed one
// after the other.
test("a request that is served after its strikes were known is cleared at every gateway", () => {
    const fleet = new Fleet(3);
    const earlierLedgerVersion = fleet.of(1).version();
    [0, 0, 0].forEach(gateway => fleet.crash(gateway, "popular"));
    fleet.spread();
    assert.deepEqual(fleet.states("popular"), ["quarantined"]);
    assert.equal(fleet.of(1).onServed("popular", earlierLedgerVersion, fleet.epochMs), false);
    assert.deepEqual(fleet.states("popular"), ["quarantined"]);
    assert.equal(fleet.of(1).onServed("popular", fleet.of(1).version(), fleet.epochMs), true);
    fleet.spread();
    assert.deepEqual(fleet.states("popular"), ["clear"]);
    fleet.spread();
    assert.deepEqual(fleet.states("popular"), ["clear"]);
});

test("a restarted gateway restores the quarantine, and keeps reporting its own strikes", () => {
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

// Guards against requests that stay quarantined forever after a fixed release, and against unlimited trials, each of
// which may cost a server.
test("a quarantined request gets a limited number of trials, each from one gateway at a time", () => {
    const fleet = new Fleet(4);
    [0, 1, 2].forEach(gateway => {
        fleet.crash(gateway, "deadly");
        fleet.spread();
    });
    let trials = 0;
    const stepMs = 5_000;
    for (let waitedMs = 0; waitedMs < quarantineRetentionMs / 20; waitedMs += stepMs) {
        fleet.epochMs += stepMs;
        const tryingGateways = fleet.names.map((_, i) => i).filter(i => fleet.state(i, "deadly") === "trial");
        assert.ok(tryingGateways.length <= 1);
        for (const gateway of tryingGateways) {
            fleet.crash(gateway, "deadly");
            trials++;
        }
        fleet.spread();
    }
    assert.equal(trials, defaultTrialDelaysMs.length);
    fleet.epochMs += quarantineRetentionMs;
    assert.deepEqual(fleet.states("deadly"), ["clear"]);
});

test("only one trial request is sent at a time, and a served one ends the quarantine", () => {
    const fleet = new Fleet(1);
    [0, 0, 0].forEach(gateway => fleet.crash(gateway, "deadly"));
    fleet.epochMs += defaultTrialDelaysMs[0] ?? 0;
    assert.equal(fleet.state(0, "deadly"), "trial");
    const endTrial = fleet.of(0).beginTrial("deadly");
    assert.equal(fleet.state(0, "deadly"), "quarantined");
    fleet.of(0).onServed("deadly", fleet.of(0).version(), fleet.epochMs);
    endTrial();
    assert.equal(fleet.state(0, "deadly"), "clear");
});

// Guards against a caller that keeps sending new crashing requests, which would fill the memory of all gateways and
// evict known strikes.
test("the size of a gateway's report is bounded, and known crashing requests stay quarantined", () => {
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

test("a malformed report is ignored, and malformed entries of a valid report are skipped", () => {
    assert.equal(readCrashReport("no report"), undefined);
    assert.equal(readCrashReport("[]"), undefined);
    const strike = { contentId: "c", incarnation: "s", generation: 1, atEpochMs: 1, trial: false };
    const text = JSON.stringify({
        strikes: [strike, { ...strike, generation: "1" }, null],
        cleared: [{ contentId: "c" }],
    });
    assert.deepEqual(readCrashReport(text), { strikes: [strike], cleared: [] });
});

// Guards against an order of report deliveries that lets a crashing request through after all gateways have the reports
// of three crashes.
test("a crashing request reaches at most three more servers once all gateways know of three crashes", () => {
    const step = fc.record({ gateway: fc.nat(4), spreads: fc.boolean() });
    fc.assert(fc.property(fc.array(step, { minLength: 3, maxLength: 60 }), steps => {
        const fleet = new Fleet(5);
        let crashes = 0;
        let lateSends = 0;
        for (const { gateway, spreads } of steps) {
            const allKnow = crashes >= 3;
            if (fleet.state(gateway, "deadly") !== "quarantined") {
                fleet.crash(gateway, "deadly");
                crashes++;
                lateSends += allKnow ? 1 : 0;
            }
            if (spreads || crashes >= 3) {
                fleet.spread();
            }
        }
        assert.ok(lateSends <= 3, `${lateSends} sends after the third of ${crashes} crashes`);
    }));
});

// Guards against reports that fill up with strikes against requests on servers that crashed for other reasons.
test("a single strike expires, and is no longer reported, long before a quarantine does", () => {
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
