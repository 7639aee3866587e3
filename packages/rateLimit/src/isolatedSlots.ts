import { RendezvousRanks } from "@galenaglade/fleet-state";
import { minRetainedSlots } from "./constants.js";
import { type LimitRule } from "./model.js";

const oneSecondMs = 1_000;

/** Workspaces whose slots are remembered; where there are more, the earlier slots of all are given up. */
const mostSlotWorkspaces = 10_000;

/**
 * Admits requests of a host that reaches no allocator. Of each workspace a slot begins every 1/R seconds of the day, dealt to all hosts in
 * turn by their rendezvous ranks, so that isolated hosts need not hear of each other to admit no more than their share.
 */
export class IsolatedSlots {
    readonly #name: string;
    readonly #ranks: RendezvousRanks;
    #hosts: readonly string[] = [];
    #isCounted = false;
    /** Time of day less monotonic time: read once, so that a step of the clock repeats no slot. */
    #offsetMs: number | undefined;
    #rosterAtMs = -Infinity;
    /** Beginning of the latest slot that was used, by workspace. */
    readonly #usedMs = new Map<string, number>();

    constructor(name: string) {
        this.#name = name;
        this.#ranks = new RendezvousRanks(name);
    }

    onRoster(names: readonly string[], nowMs: number): void {
        if (names !== this.#hosts) {
            this.#hosts = names;
            this.#isCounted = names.includes(this.#name);
            this.#ranks.update(names);
            this.#rosterAtMs = nowMs;
        }
    }

    /** The monotonic clock may have stood still. */
    onSuspended(nowMs: number): void {
        this.#offsetMs = undefined;
        this.#rosterAtMs = nowMs;
    }

    /**
     * @param rule - of the request's workspace
     * @param sinceMs - since when the host has its share to itself: earlier slots were the allocator's
     * @returns whether a slot was free for the request
     */
    tryTake(rule: LimitRule, sinceMs: number, nowMs: number, wallMs: number): boolean {
        if (!this.#isCounted) {
            return false;
        }
        const offsetMs = this.#offsetMs ??= wallMs - nowMs;
        const periodMs = this.#hosts.length / rule.perSecond * oneSecondMs;
        const phaseMs = this.#ranks.rankOf(rule.workspace) / rule.perSecond * oneSecondMs;
        // All hosts together keep as many slots as a full bucket would keep tokens.
        const validMs = Math.max(rule.burst, minRetainedSlots) / rule.perSecond * oneSecondMs;
        const usedMs = this.#usedMs.get(rule.workspace) ?? -Infinity;
        const afterMs = Math.max(nowMs - validMs, sinceMs, this.#rosterAtMs, usedMs) + offsetMs;
        const index = Math.floor((afterMs - phaseMs) / periodMs) + 1;
        const slotMs = index * periodMs + phaseMs - offsetMs;
        if (slotMs > nowMs) {
            return false;
        }
        if (this.#usedMs.size >= mostSlotWorkspaces) {
            this.#usedMs.clear();
            this.#ranks.retain(new Set());
            this.#rosterAtMs = nowMs;
        }
        // Rounding must not find the same slot again.
        this.#usedMs.set(rule.workspace, slotMs + 0.001);
        return true;
    }
}
