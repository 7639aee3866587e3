import { findOwners } from "@galenaglade/fleet-state";
import { actingCoordinatorMs, coordinatorRetryDelayMs } from "./constants.js";

/**
 * Chooses which gateway coordinates a service's roll-out: the first by rendezvous hashing over the registrations that answers.
 * Everyone finds the same one without a message; where views differ, two act for a while, and the store takes one of their
 * writes.
 */
export class CoordinatorSelector {
    readonly #self: string;
    readonly #failedUntilMs = new Map<string, number>();
    readonly #askedUntilMs = new Map<string, number>();

    /** @param self - name of this gateway, as in its registration */
    constructor(self: string) {
        this.#self = self;
    }

    /** @returns the gateway to report to, or this one */
    choose(service: string, gateways: readonly string[], nowMs: number): string {
        const ranked = this.rank(service, gateways);
        return ranked.find(name => name === this.#self || nowMs >= (this.#failedUntilMs.get(name) ?? -Infinity))
            ?? this.#self;
    }

    /** @returns all gateways, first ones first */
    rank(service: string, gateways: readonly string[]): readonly string[] {
        return findOwners(`rollout ${service}`, gateways, gateways.length);
    }

    /** @returns whether this gateway decides now */
    isActing(service: string, gateways: readonly string[], nowMs: number): boolean {
        return nowMs < (this.#askedUntilMs.get(service) ?? -Infinity)
            || this.choose(service, gateways, nowMs) === this.#self;
    }

    /** Another gateway took this one for the coordinator. */
    onChosenByPeer(service: string, nowMs: number): void {
        this.#askedUntilMs.set(service, nowMs + actingCoordinatorMs);
    }

    /** A gateway didn't answer, or doesn't reach the store. */
    onFailure(name: string, nowMs: number): void {
        this.#failedUntilMs.set(name, nowMs + coordinatorRetryDelayMs);
    }
}
