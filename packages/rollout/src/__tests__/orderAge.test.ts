import {
    FleetView,
    readGatewayRegistration,
    renderGatewayRegistration,
    type RolloutStage,
    type StateItem,
} from "@galenaglade/fleet-state";
import { createRandomSource } from "@galenaglade/routing";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CoordinatorSelector, GatewayRollouts, OrderAges, type RolloutCommand, RolloutParticipant } from "../index.js";

const service = "tables";
const version = "v2";
const allowedMs = 10_000;
const tickMs = 250;
const names = ["a", "b", "c"];
const [first = "", second = ""] = new CoordinatorSelector("").rank(service, names);

const order: StateItem = { type: "rolloutOrder", key: "order", order: { service, version, allowedMs } };

function trialSince(startedAtEpochMs: number, stage: RolloutStage = "trial"): StateItem {
    return {
        type: "rolloutStatus",
        key: "status",
        status: { service, version, stage, startedAtEpochMs, rejectedVersions: [] },
        revision: 3,
    };
}

function gatewayItem(name: string): StateItem {
    const value = renderGatewayRegistration({ availabilityZone: "north", peerAddress: { host: "10.0.0.2", port: 90 } });
    return { type: "gateway", key: name, name, leaseId: "1", registration: readGatewayRegistration(value) };
}

/** The participant of one gateway, with store contents set by the test. */
class TestParticipant {
    readonly view = new FleetView();
    readonly participant: RolloutParticipant;
    readonly #clockErrorMs: number;

    constructor(name: string, clockErrorMs = 0) {
        this.#clockErrorMs = clockErrorMs;
        const { view } = this;
        const rollouts = new GatewayRollouts({
            name,
            incarnation: "1",
            view,
            random: createRandomSource(1),
            exposureShare: 0.1,
        });
        this.participant = new RolloutParticipant({ name, view, rollouts });
    }

    read(items: readonly StateItem[], nowMs: number): void {
        this.view.onFullRead([...names.map(gatewayItem), ...items], nowMs);
    }

    /**
     * Ticks while the store answers without changes and accepts no write.
     *
     * @returns the commands of the participant, with their times
     */
    run(fromMs: number, toMs: number): readonly { readonly atMs: number; readonly command: RolloutCommand; }[] {
        const commands = [];
        for (let atMs = fromMs; atMs < toMs; atMs += tickMs) {
            this.view.onStoreContact(atMs);
            for (const command of this.participant.tick({ nowMs: atMs, epochMs: atMs + this.#clockErrorMs })) {
                commands.push({ atMs, command });
                if (command.type === "write") {
                    this.participant.onStatusWritten(service, undefined, atMs);
                }
            }
        }
        return commands;
    }
}

/** @returns time of the first command to roll back */
function findRollBack(commands: ReturnType<TestParticipant["run"]>): number | undefined {
    return commands.find(({ command }) => command.type === "write" && command.status.stage === "rolledBack")?.atMs;
}

test("the age of an order lies within the combined bounds of all gateways, also if reports arrive late", () => {
    const gateway = fc.record({
        lastWithoutMs: fc.integer({ min: 0, max: 5_000 }),
        firstSeenMs: fc.integer({ min: 5_000, max: 9_000 }),
        isInherited: fc.boolean(),
        heardAtMs: fc.integer({ min: 9_000, max: 20_000 }),
    });
    fc.assert(
        fc.property(
            fc.array(gateway, { minLength: 1, maxLength: 5 }),
            fc.integer({ min: 0, max: 9_000 }),
            (all, slowMs) => {
                const givenAtMs = 5_000;
                const ages = new OrderAges();
                for (const [i, { lastWithoutMs, firstSeenMs, isInherited, heardAtMs }] of all.entries()) {
                    const age = {
                        atLeastMs: heardAtMs - firstSeenMs,
                        ...(isInherited ? {} : { atMostMs: heardAtMs - lastWithoutMs }),
                    };
                    ages.add(String(i), age, heardAtMs + slowMs);
                }
                const { atLeastMs, atMostMs } = ages.boundsAt(30_000);
                assert.ok(atLeastMs <= 30_000 - givenAtMs);
                // A report ages in transit, so the upper bound may be too low by that time.
                assert.ok((atMostMs ?? Infinity) >= 30_000 - givenAtMs - slowMs);
                assert.equal(atMostMs === undefined, all.every(({ isInherited }) => isInherited));
            },
        ),
    );
});

// Guards against a late rollback: a coordinator that was partitioned when the order was given ended the rollout late
// by the duration of the partition.
test("a coordinator that was partitioned when the order was given ends the rollout in time with a wrong clock", () => {
    for (const clockErrorMs of [0, -60_000, 60_000]) {
        const gateway = new TestParticipant(first, clockErrorMs);
        gateway.read([], 0);
        gateway.run(0, 5_000);
        // The order is given at 5 s at the earliest; this gateway reads it at 9 s.
        gateway.view.onChanges({ items: [order, trialSince(5_000)], deletedKeys: [] }, 9_000);
        const rolledBackAtMs = findRollBack(gateway.run(9_000, 20_000)) ?? Infinity;
        assert.ok(rolledBackAtMs <= 5_000 + allowedMs, `clock ${clockErrorMs}: ${rolledBackAtMs}`);
        assert.ok(rolledBackAtMs >= 9_000 + allowedMs * 0.5, `clock ${clockErrorMs}: ${rolledBackAtMs}`);
    }
});

// Guards against a coordinator that uses only its own observations of the order's age.
test("a restarted coordinator takes the age of the order from other gateways, whatever its clock shows", () => {
    for (const clockErrorMs of [0, -60_000, 60_000]) {
        const gateway = new TestParticipant(first, clockErrorMs);
        gateway.read([order, trialSince(0)], 6_000);
        gateway.run(6_000, 6_250);
        const orderAge = { atLeastMs: 6_000, atMostMs: 6_200 };
        const report = { gateway: second, life: "1", service, version, settled: false, routes: [], orderAge };
        assert.deepEqual(gateway.participant.onPeerReport(report, { nowMs: 6_250, epochMs: 0 }), { stop: false });
        const rolledBackAtMs = findRollBack(gateway.run(6_250, 20_000)) ?? Infinity;
        assert.ok(
            rolledBackAtMs <= allowedMs && rolledBackAtMs >= allowedMs * 0.9,
            `clock ${clockErrorMs}: ${rolledBackAtMs}`,
        );
    }
});

// Guards against a rollout without an end when no running gateway saw the order arrive: only the start time in the
// status is left then.
test("a coordinator ends the rollout by the start time in the status if the whole fleet was restarted", () => {
    const gateway = new TestParticipant(first);
    gateway.read([order, trialSince(1_000)], 6_000);
    const rolledBackAtMs = findRollBack(gateway.run(6_000, 30_000)) ?? Infinity;
    assert.ok(rolledBackAtMs <= 1_000 + allowedMs && rolledBackAtMs >= allowedMs, String(rolledBackAtMs));
});

// Guards against a rollout that is left open because its coordinator accepts reports but cannot write, or is paused at
// the end.
test("every gateway that reaches the store ends an overdue rollout, also if another one coordinates", () => {
    for (const name of names) {
        const gateway = new TestParticipant(name);
        gateway.read([], 0);
        gateway.run(0, 1_000);
        gateway.view.onChanges({ items: [order], deletedKeys: [] }, 1_000);
        gateway.run(1_000, 1_250);
        gateway.view.onChanges({ items: [trialSince(1_000)], deletedKeys: [] }, 1_250);
        const commands = gateway.run(1_250, 20_000);
        const rolledBackAtMs = findRollBack(commands) ?? Infinity;
        assert.ok(rolledBackAtMs <= 1_000 + allowedMs, `${name}: ${rolledBackAtMs}`);
        assert.ok(rolledBackAtMs >= 1_000 + allowedMs * 0.9, `${name}: ${rolledBackAtMs}`);
    }
});

// Guards against an early rollback of sound versions: the upper bound of a gateway that was partitioned before the
// order was given is too high by the duration of the partition, and must not be taken for the age.
test("a gateway that was partitioned for long does not end a rollout that has just started", () => {
    for (const name of names) {
        const gateway = new TestParticipant(name);
        gateway.read([], 0);
        gateway.run(0, 1_000);
        gateway.view.onChanges({ items: [order, trialSince(20_000)], deletedKeys: [] }, 20_500);
        const before = gateway.run(20_500, 21_000);
        const orderAge = { atLeastMs: 1_000, atMostMs: 1_400 };
        const report = { gateway: "d", life: "1", service, version, settled: false, routes: [], orderAge };
        if (name === first) {
            gateway.participant.onPeerReport(report, { nowMs: 21_000, epochMs: 21_000 });
        }
        const rolledBackAtMs = findRollBack([...before, ...gateway.run(21_000, 35_000)]) ?? Infinity;
        assert.ok(rolledBackAtMs >= 20_000 + allowedMs * 0.9, `${name}: ${rolledBackAtMs}`);
    }
});

// Guards against a wrong age: a gateway that was partitioned for long may still hold an old order of the same version.
test("a gateway that does not reach the store does not report the age of the order", () => {
    const gateway = new TestParticipant(second);
    gateway.read([], 0);
    gateway.run(0, 1_000);
    gateway.view.onChanges({ items: [order], deletedKeys: [] }, 1_000);
    const [connectedReport] = gateway.run(1_000, 3_000).flatMap(({ command }) =>
        command.type === "report" ? [command] : []
    );
    assert.ok(connectedReport?.report.orderAge !== undefined);
    gateway.participant.onReportSent(connectedReport, { taken: true, stop: false }, 2_750);
    const [partitionedReport] = gateway.participant.tick({ nowMs: 8_000, epochMs: 8_000 })
        .flatMap(command => command.type === "report" ? [command] : []);
    assert.ok(partitionedReport !== undefined && partitionedReport.report.orderAge === undefined);
});
