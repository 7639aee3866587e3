import { departedGatewayMs } from "./constants.js";
import { type GatewayRegistration } from "./gatewayRegistration.js";
import { type RegisteredGateway } from "./relaySources.js";

interface PresentGateway {
    readonly leaseId: string | undefined;
    readonly registration: GatewayRegistration | undefined;
}

/**
 * The gateways of the fleet, by their registrations in the store. What is dealt out by it (shares of a budget, who
 * may send to a cold server) must hold while gateways see the roster change at different moments, so a gateway leaves
 * it late and joins it at once: the number is rather too large than too small.
 */
export class GatewayRoster {
    readonly #present = new Map<string, PresentGateway>();
    readonly #departedAtMs = new Map<string, number>();

    onPresent(name: string, leaseId: string | undefined, registration?: GatewayRegistration): void {
        this.#present.set(name, { leaseId, registration });
        this.#departedAtMs.delete(name);
    }

    onGone(name: string, nowMs: number): void {
        if (this.#present.delete(name)) {
            this.#departedAtMs.set(name, nowMs);
        }
    }

    /** @returns all names that count now, sorted */
    names(nowMs: number): readonly string[] {
        const counted = [...this.#present.keys()];
        for (const [name, departedAtMs] of this.#departedAtMs) {
            if (nowMs - departedAtMs < departedGatewayMs) {
                counted.push(name);
                continue;
            }
            this.#departedAtMs.delete(name);
        }
        return counted.sort();
    }

    /** @returns whether a gateway's registration is there at this moment */
    isPresent(name: string): boolean {
        return this.#present.has(name);
    }

    /** @returns the lease of a gateway's registration */
    leaseOf(name: string): string | undefined {
        return this.#present.get(name)?.leaseId;
    }

    /** @returns the gateways that are registered at this moment and say where they relay changes */
    registered(): readonly RegisteredGateway[] {
        const gateways: RegisteredGateway[] = [];
        for (const [name, { registration }] of this.#present) {
            if (registration !== undefined) {
                gateways.push({ name, ...registration });
            }
        }
        return gateways;
    }
}
