import assert from "node:assert/strict";
import { test } from "node:test";
import { LimitAdmission, type LimitAdmissionInput, type AdvertisedLimit } from "../index.js";

const serverId = "server";
const zones = ["north", "middle", "south"];
const stepMs = 20;
const windowMs = 4_000;

interface FleetInput {
    readonly gateways: number;
    readonly perSecond: number;
    readonly runMs: number;
    /** Indexes of the gateways that a gateway's roster lacks, by the gateway's index. */
    readonly unknownTo?: (gateway: number) => ReadonlySet<number>;
    /** Time at which all gateways restart. */
    readonly restartAtMs?: number;
    /** A change of the advertised limit. */
    readonly change?: { readonly atMs: number; readonly perSecond: number; };
}

function zoneOf(gateway: number): string {
    return zones[gateway % zones.length] ?? "";
}

interface Rosters {
    readonly gateways: readonly string[];
    readonly byZone: ReadonlyMap<string, readonly string[]>;
}

function createRosters(gateways: number, unknown: ReadonlySet<number>): Rosters {
    const known = Array.from({ length: gateways }, (_, i) => i).filter(i => !unknown.has(i));
    return {
        gateways: known.map(i => `gateway-${i}`),
        byZone: new Map(zones.map(zone => [zone, known.filter(i => zoneOf(i) === zone).map(i => `gateway-${i}`)])),
    };
}

/** Simulates gateways that send to one server whenever they may. @returns the times of the sends */
function simulateEagerGateways(input: FleetInput): readonly number[] {
    const { gateways, runMs, restartAtMs, unknownTo, change } = input;
    const create = (): readonly LimitAdmission[] =>
        Array.from({ length: gateways }, (_, i) => new LimitAdmission(`gateway-${i}`, zoneOf(i)));
    const rosters = Array.from({ length: gateways }, (_, i) => createRosters(gateways, unknownTo?.(i) ?? new Set()));
    let admissions = create();
    let sinceMs = 0;
    const sentAtMs: number[] = [];
    for (let nowMs = 0; nowMs < runMs; nowMs += stepMs) {
        if (nowMs === restartAtMs) {
            admissions = create();
            sinceMs = nowMs;
        }
        const perSecond = change !== undefined && nowMs >= change.atMs ? change.perSecond : input.perSecond;
        const limit: AdvertisedLimit = { perSecond, sinceMs, lastAdvertisedAtMs: nowMs };
        for (const [i, admission] of admissions.entries()) {
            const roster = rosters[i];
            if (roster !== undefined && admission.waitMs(createInput(roster, zoneOf(i), limit, nowMs)) === 0) {
                admission.onSend(serverId, nowMs);
                sentAtMs.push(nowMs);
            }
        }
    }
    return sentAtMs;
}

function createInput(
    { gateways, byZone }: Rosters,
    zone: string,
    limit: AdvertisedLimit,
    nowMs: number,
): LimitAdmissionInput {
    return {
        serverId,
        availabilityZone: "north",
        limit,
        gateways,
        zoneGateways: byZone.get(zone) ?? [],
        serverZoneGateways: byZone.get("north") ?? [],
        nowMs,
    };
}

function findMaxInWindow(sentAtMs: readonly number[]): number {
    let max = 0;
    let first = 0;
    for (const [last, atMs] of sentAtMs.entries()) {
        while ((sentAtMs[first] ?? 0) <= atMs - windowMs) {
            first++;
        }
        max = Math.max(max, last - first + 1);
    }
    return max;
}

function allowedOf(perSecond: number): number {
    return perSecond * windowMs / 1_000 * 1.5 + 5;
}

const fleets = [1, 5, 13, 15, 131, 312];
const limits = [0, 0.1, 0.5, 1.1, 3, 20, 60];

// Guards against exceeding a limit when all gateways want to send at once, for example because the server looks least
// loaded.
test("gateways that send whenever they may stay within a server's limit together, and use most of it", () => {
    for (const gateways of fleets) {
        for (const perSecond of limits) {
            const sentAtMs = simulateEagerGateways({ gateways, perSecond, runMs: 40_000 });
            assert.ok(
                findMaxInWindow(sentAtMs) <= allowedOf(perSecond),
                `${gateways} gateways, ${perSecond}: ${findMaxInWindow(sentAtMs)}`,
            );
            if (perSecond >= 0.5) {
                const used = sentAtMs.length / 40 / perSecond;
                assert.ok(used > 0.5, `${gateways} gateways, ${perSecond}: ${used}`);
            }
        }
    }
});

// Guards against too many owners of a limit while rosters differ because a gateway joins or leaves.
test("a limit is respected while rosters lack some of the gateways", () => {
    for (const gateways of fleets) {
        for (const perSecond of limits) {
            for (const lackingCount of [1, 2]) {
                const unknownTo = (gateway: number): ReadonlySet<number> =>
                    new Set(
                        Array.from({ length: lackingCount }, (_, i) => (gateway * 7 + i * 3) % gateways).filter(i =>
                            i !== gateway
                        ),
                    );
                const max = findMaxInWindow(simulateEagerGateways({ gateways, perSecond, runMs: 20_000, unknownTo }));
                assert.ok(
                    max <= allowedOf(perSecond),
                    `${gateways} gateways lacking ${lackingCount}, ${perSecond}: ${max}`,
                );
            }
        }
    }
});

test("a limit is respected when all gateways restart, because they start without a burst", () => {
    for (const gateways of fleets) {
        for (const perSecond of limits) {
            const max = findMaxInWindow(
                simulateEagerGateways({ gateways, perSecond, runMs: 20_000, restartAtMs: 10_000 }),
            );
            assert.ok(max <= allowedOf(perSecond), `${gateways} gateways, ${perSecond}: ${max}`);
        }
    }
});

test("a lowered limit is respected from the first response that advertises it, and a raised one is used", () => {
    for (const gateways of fleets) {
        const lowered = simulateEagerGateways({
            gateways,
            perSecond: 20,
            runMs: 30_000,
            change: { atMs: 10_000, perSecond: 1.1 },
        });
        assert.ok(findMaxInWindow(lowered.filter(atMs => atMs >= 10_000)) <= allowedOf(1.1));
        const raised = simulateEagerGateways({
            gateways,
            perSecond: 1.1,
            runMs: 30_000,
            change: { atMs: 10_000, perSecond: 20 },
        });
        assert.ok(findMaxInWindow(raised) <= allowedOf(20));
        assert.ok(raised.filter(atMs => atMs >= 20_000).length >= 100, `${gateways} gateways`);
    }
});
