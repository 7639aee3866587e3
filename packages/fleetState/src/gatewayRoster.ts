import { departedGatewayGraceMs } from "./constants.js";
import { type GatewayRegistration } from "./gatewayRegistration.js";
import { type RegisteredGateway } from "./watchSourceSelector.js";

/** The member gateways at one point in time. The arrays are reused until the membership changes. */
export interface GatewayMembers {
    /** All names, sorted. */
    readonly names: readonly string[];
    /** Names by availability zone, for the gateways whose registration tells their zone. */
    readonly byZone: ReadonlyMap<string, readonly string[]>;
}

interface DepartedGateway {
    readonly availabilityZone: string | undefined;
    readonly atMs: number;
}

interface RegisteredMember {
    readonly leaseId: string | undefined;
    readonly registration: GatewayRegistration | undefined;
}

/**
 * Membership of the gateways, based on their registrations in the store. Budgets are divided by it and permissions to
 * send to cold servers depend on it; both must hold although gateways see a change at different times. So a gateway
 * joins at once and leaves late: the number of members may be too large for a while, but not too small.
 */
export class GatewayRoster {
    readonly #registered = new Map<string, RegisteredMember>();
    readonly #departed = new Map<string, DepartedGateway>();
    #members: GatewayMembers | undefined;
    /** When the next departed gateway ceases to be a member. */
    #membersUntilMs = Infinity;

    onRegistered(name: string, leaseId: string | undefined, registration?: GatewayRegistration): void {
        const before = this.#registered.get(name);
        this.#registered.set(name, { leaseId, registration });
        this.#departed.delete(name);
        if (before === undefined || before.registration?.availabilityZone !== registration?.availabilityZone) {
            this.#members = undefined;
        }
    }

    onUnregistered(name: string, nowMs: number): void {
        const departing = this.#registered.get(name);
        if (departing !== undefined) {
            this.#registered.delete(name);
            this.#departed.set(name, { availabilityZone: departing.registration?.availabilityZone, atMs: nowMs });
            this.#members = undefined;
        }
    }

    /** @returns the current members */
    members(nowMs: number): GatewayMembers {
        if (this.#members === undefined || nowMs >= this.#membersUntilMs) {
            this.#members = this.#computeMembers(nowMs);
        }
        return this.#members;
    }

    /** @returns the names of the current members, sorted */
    names(nowMs: number): readonly string[] {
        return this.members(nowMs).names;
    }

    #computeMembers(nowMs: number): GatewayMembers {
        const zones = new Map<string, string | undefined>();
        for (const [name, { registration }] of this.#registered) {
            zones.set(name, registration?.availabilityZone);
        }
        this.#membersUntilMs = Infinity;
        for (const [name, { availabilityZone, atMs }] of this.#departed) {
            if (nowMs - atMs >= departedGatewayGraceMs) {
                this.#departed.delete(name);
                continue;
            }
            zones.set(name, availabilityZone);
            this.#membersUntilMs = Math.min(this.#membersUntilMs, atMs + departedGatewayGraceMs);
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

    /** @returns whether a gateway is registered now */
    isRegistered(name: string): boolean {
        return this.#registered.has(name);
    }

    /** @returns the id of the lease that a gateway's registration is attached to */
    leaseOf(name: string): string | undefined {
        return this.#registered.get(name)?.leaseId;
    }

    /** @returns the gateways that are registered now and have an address for relaying changes */
    registered(): readonly RegisteredGateway[] {
        const gateways: RegisteredGateway[] = [];
        for (const [name, { registration }] of this.#registered) {
            if (registration !== undefined) {
                gateways.push({ name, ...registration });
            }
        }
        return gateways;
    }
}
