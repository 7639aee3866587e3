import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { type SimulatedServer } from "./simulatedServer.js";

/** The backend servers of the fleet, and the availability zones that are taken out. */
export class FleetDirectory {
    readonly #servers: SimulatedServer[] = [];
    readonly #byId = new Map<string, SimulatedServer>();
    readonly #rules: ReadonlyMap<string, ServiceRules>;
    readonly #zonesOut = new Set<string>();
    #usable = new Map<string, readonly RegisteredServer[]>();

    /** @param rules - rules of all services */
    constructor(rules: readonly ServiceRules[]) {
        this.#rules = new Map(rules.map(each => [each.name, each]));
    }

    get servers(): readonly SimulatedServer[] {
        return this.#servers;
    }

    add(server: SimulatedServer): void {
        this.#servers.push(server);
        this.#byId.set(server.id, server);
        this.invalidateUsableServers();
    }

    get(id: string): SimulatedServer | undefined {
        return this.#byId.get(id);
    }

    rulesOf(service: string): ServiceRules {
        const rules = this.#rules.get(service);
        if (rules === undefined) {
            throw new RangeError(`unknown service ${service}`);
        }
        return rules;
    }

    setZoneOut(zone: string, out: boolean): void {
        if (out) {
            this.#zonesOut.add(zone);
        }
        else {
            this.#zonesOut.delete(zone);
        }
        this.invalidateUsableServers();
    }

    /** Discards the cached lists of usable servers after a change of a registration or a zone. */
    invalidateUsableServers(): void {
        this.#usable = new Map();
    }

    /** @returns servers of a service that may receive new requests */
    usable(service: string): readonly RegisteredServer[] {
        const cached = this.#usable.get(service);
        if (cached !== undefined) {
            return cached;
        }
        const usable: RegisteredServer[] = [];
        for (const { registered, isRegistered } of this.#servers) {
            const { service: serverService, availabilityZone } = registered;
            if (serverService === service && isRegistered && !this.#zonesOut.has(availabilityZone)) {
                usable.push(registered);
            }
        }
        this.#usable.set(service, usable);
        return usable;
    }
}
