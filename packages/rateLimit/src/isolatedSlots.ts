import { RendezvousRanks } from "@galenaglade/fleet-state";
import { minRetainedSlots } from "./constants.js";
import { type LimitRule } from "./model.js";

const oneSecondMs = 1_000;

/** Maximum number of workspaces whose used slots are tracked; if it is exceeded, all earlier slots are forfeited. */
const maxTrackedWorkspaces = 10_000;

/**
 * Admits requests on a host that can't reach an allocator. For a limit of R requests per second, a time slot begins
 * every 1/R seconds of wall-clock time. Slots are assigned to all hosts in turn by rendezvous hashing, so that isolated
 * hosts keep the limit without communicating.
 */
export class IsolatedSlots {
    readonly #name: string;
    readonly #ranks: RendezvousRanks;
    #hosts: readonly string[] = [];
    #isRegistered = false;
    /** Wall-clock time minus monotonic time; read once, so that a step of the wall clock can't repeat a slot. */
    #wallOffsetMs: number | undefined;
    #rosterChangedAtMs = -Infinity;
    /** Start of the latest used slot, by workspace. */
    readonly #lastUsedSlotMs = new Map<string, number>();

    constructor(name: string) {
        this.#name = name;
        this.#ranks = new RendezvousRanks(name);
    }

    onRoster(names: readonly string[], nowMs: number): void {
        if (names !== this.#hosts) {
            this.#hosts = names;
            this.#isRegistered = names.includes(this.#name);
            this.#ranks.update(names);
            this.#rosterChangedAtMs = nowMs;
        }
    }

    /** Resets the clock offset after a suspension, during which the monotonic clock may have stopped. */
    onSuspended(nowMs: number): void {
        this.#wallOffsetMs = undefined;
        this.#rosterChangedAtMs = nowMs;
    }

    /**
     * Takes a free slot for a request.
     *
     * @param rule - limit of the request's workspace
     * @param sinceMs - time since which no allocator holds the host's share; earlier slots can't be used
     * @returns whether a slot was free
     */
    tryTake(rule: LimitRule, sinceMs: number, nowMs: number, wallMs: number): boolean {
        if (!this.#isRegistered) {
            return false;
        }
        const offsetMs = this.#wallOffsetMs ??= wallMs - nowMs;
        const periodMs = this.#hosts.length / rule.perSecond * oneSecondMs;
        const phaseMs = this.#ranks.rankOf(rule.workspace) / rule.perSecond * oneSecondMs;
        // All hosts together retain as many unused slots as a full bucket has tokens.
        const validMs = Math.max(rule.burst, minRetainedSlots) / rule.perSecond * oneSecondMs;
        const usedMs = this.#lastUsedSlotMs.get(rule.workspace) ?? -Infinity;
        const afterMs = Math.max(nowMs - validMs, sinceMs, this.#rosterChangedAtMs, usedMs) + offsetMs;
        const index = Math.floor((afterMs - phaseMs) / periodMs) + 1;
        const slotMs = index * periodMs + phaseMs - offsetMs;
        if (slotMs > nowMs) {
            return false;
        }
        if (this.#lastUsedSlotMs.size >= maxTrackedWorkspaces) {
            this.#lastUsedSlotMs.clear();
            this.#ranks.retain(new Set());
            this.#rosterChangedAtMs = nowMs;
        }
        // The offset prevents rounding errors from yielding the same slot again.
        this.#lastUsedSlotMs.set(rule.workspace, slotMs + 0.001);
        return true;
    }
}
