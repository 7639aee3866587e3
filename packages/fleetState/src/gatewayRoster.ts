import { departedGatewayGraceMs } from "./constants.js";
import { type GatewayRegistration } from "./gatewayRegistration.js";
import { type RegisteredGateway } from "./watchSourceSelector.js";

/** The gateways that count at one moment. The arrays stay the same while the gateways do. */
export interface GatewayMembers {
    /** All names, sorted. */
    readonly names: readonly string[];
    /** Those of each availability zone, as far as their registrations say it. */
    readonly byZone: ReadonlyMap<string, readonly string[]>;
}

interface DepartedGateway {
    readonly availabilityZone: string | undefined;
    readonly atMs: number;
}

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
    readonly #departed = new Map<string, DepartedGateway>();
    #counted: GatewayMembers | undefined;
    /** When the next departed gateway stops counting. */
    #countedUntilMs = Infinity;

    onRegistered(name: string, leaseId: string | undefined, registration?: GatewayRegistration): void {
        const before = this.#present.get(name);
        this.#present.set(name, { leaseId, registration });
        this.#departed.delete(name);
        if (before === undefined || before.registration?.availabilityZone !== registration?.availabilityZone) {
            this.#counted = undefined;
        }
    }

    onUnregistered(name: string, nowMs: number): void {
        const gone = this.#present.get(name);
        if (gone !== undefined) {
            this.#present.delete(name);
            this.#departed.set(name, { availabilityZone: gone.registration?.availabilityZone, atMs: nowMs });
            this.#counted = undefined;
        }
    }

    /** @returns the gateways that count now */
    members(nowMs: number): GatewayMembers {
        if (this.#counted === undefined || nowMs >= this.#countedUntilMs) {
            this.#counted = this.#count(nowMs);
        }
        return this.#counted;
    }

    /** @returns all names that count now, sorted */
    names(nowMs: number): readonly string[] {
        return this.members(nowMs).names;
    }

    #count(nowMs: number): GatewayMembers {
        const zones = new Map<string, string | undefined>();
        for (const [name, { registration }] of this.#present) {
            zones.set(name, registration?.availabilityZone);
        }
        this.#countedUntilMs = Infinity;
        for (const [name, { availabilityZone, atMs }] of this.#departed) {
            if (nowMs - atMs >= departedGatewayGraceMs) {
                this.#departed.delete(name);
                continue;
            }
            zones.set(name, availabilityZone);
            this.#countedUntilMs = Math.min(this.#countedUntilMs, atMs + departedGatewayGraceMs);
        }
        const names = [...zones.keys()].sort();
        const byZone = new Map<string, string[]>();
        for (const name of names) {
            const zone = zones.get(name);
            if (zone !== undefined) {
                const inZone = byZone.get(zone) ?? [];
                inZone.push(name);
                byZone.set(zone, inZone);
            }
        }
        return { names, byZone };
    }

    /** @returns whether a gateway's registration is there at this moment */
    isRegistered(name: string): boolean {
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
