import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { edgeCount, faultPhaseMs, services, serversPerService } from "./constants.js";
import { type Fault } from "./faults.js";

const minRounds = 2;
const maxRounds = 3;
const minFailureMs = 1_200;
const maxFailureMs = 2_200;
const maxPauseMs = 700;
const minDownMs = 200;
const maxDownMs = 600;
/** Share of the rounds in which all gateways are killed. */
const allKilledShare = 0.4;
/** Seed multiplier. Decorrelates adjacent seeds, and this plan from the other random choices of a run. */
const seedFactor = 0x27d4_eb2f;

/**
 * Draws bursts of failures, in which all servers fail half of their requests under a high load. Gateways are killed
 * after each of them, so that those that fail next have been restarted within one window of the retry budget.
 *
 * @param seed - seed of the run
 * @returns the faults in the order in which they begin; the same for the same seed
 */
export function planFailureBursts(seed: number): readonly Fault[] {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    const faults: Fault[] = [];
    let atMs = random.next() * maxPauseMs;
    const rounds = minRounds + random.nextInt(maxRounds - minRounds + 1);
    for (let round = 0; round < rounds; round++) {
        const failureMs = minFailureMs + random.next() * (maxFailureMs - minFailureMs);
        faults.push(...planFailure(atMs, failureMs));
        atMs += failureMs;
        const kills = planKills(atMs, random);
        faults.push(...kills);
        atMs += Math.max(...kills.map(({ durationMs }) => durationMs)) + random.next() * maxPauseMs;
    }
    return faults.filter(fault => fault.atMs + fault.durationMs <= faultPhaseMs);
}

function planFailure(atMs: number, durationMs: number): readonly Fault[] {
    const fault = { atMs, durationMs, target: 0, linkFault: "reset" } as const;
    const failing = Array.from(
        { length: services.length * serversPerService },
        (_, target): Fault => ({ ...fault, kind: "serverFail", target }),
    );
    return [{ ...fault, kind: "burst" }, ...failing];
}

function planKills(atMs: number, random: RandomSource): readonly Fault[] {
    const count = random.next() < allKilledShare ? edgeCount : 1 + random.nextInt(edgeCount - 1);
    const first = random.nextInt(edgeCount);
    return Array.from({ length: count }, (_, i): Fault => ({
        kind: "edgeKill",
        atMs,
        durationMs: minDownMs + random.next() * (maxDownMs - minDownMs),
        target: first + i,
        linkFault: "reset",
    }));
}
