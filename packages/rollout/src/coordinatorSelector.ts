import { findOwners } from "@galenaglade/fleet-state";
import { actingCoordinatorMs, coordinatorRetryDelayMs } from "./constants.js";

/**
 * Selects the gateway that coordinates the rollout of a service: the first one by rendezvous hashing over the
 * registrations that answers. All gateways find the same one without communication. Where their views differ, two
 * gateways coordinate for a while, and the store accepts the writes of only one of them.
 */
export class CoordinatorSelector {
    readonly #self: string;
    readonly #failedUntilMs = new Map<string, number>();
    readonly #actingUntilMs = new Map<string, number>();

    /** @param self - name of this gateway, as in its registration */
    constructor(self: string) {
        this.#self = self;
    }

    /** @returns name of the gateway to report to; may be this gateway */
    choose(service: string, gateways: readonly string[], nowMs: number): string {
        const ranked = this.rank(service, gateways);
        return ranked.find(name => name === this.#self || nowMs >= (this.#failedUntilMs.get(name) ?? -Infinity))
            ?? this.#self;
    }

    /** @returns all gateways, highest rank first */
    rank(service: string, gateways: readonly string[]): readonly string[] {
        return findOwners(`rollout ${service}`, gateways, gateways.length);
    }

    /** @returns whether this gateway coordinates now */
    isActing(service: string, gateways: readonly string[], nowMs: number): boolean {
        return nowMs < (this.#actingUntilMs.get(service) ?? -Infinity)
            || this.choose(service, gateways, nowMs) === this.#self;
    }

    /** Another gateway reported to this one as the coordinator. */
    onChosenByPeer(service: string, nowMs: number): void {
        this.#actingUntilMs.set(service, nowMs + actingCoordinatorMs);
    }

    /** A gateway did not answer, or does not reach the store. */
    onFailure(name: string, nowMs: number): void {
        this.#failedUntilMs.set(name, nowMs + coordinatorRetryDelayMs);
    }
}
