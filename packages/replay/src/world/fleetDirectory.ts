import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { type SimulatedServer } from "./simulatedServer.js";

/** The fleet's backend servers by service, with the availability zones that are out. */
export class FleetDirectory {
    readonly #servers: SimulatedServer[] = [];
    readonly #byId = new Map<string, SimulatedServer>();
    readonly #rules: ReadonlyMap<string, ServiceRules>;
    readonly #zonesOut = new Set<string>();
    #usable = new Map<string, readonly RegisteredServer[]>();

    /** @param rules - of all services */
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
            throw new RangeError(`no service ${service}`);
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

    /** A server's registration has changed. */
    invalidateUsableServers(): void {
        this.#usable = new Map();
    }

    /** @returns servers of a service that may be given new work */
    usable(service: string): readonly RegisteredServer[] {
        const known = this.#usable.get(service);
        if (known !== undefined) {
            return known;
        }
        const usable: RegisteredServer[] = [];
        for (const { registered, isRegistered } of this.#servers) {
            const { service: own, availabilityZone } = registered;
            if (own === service && isRegistered && !this.#zonesOut.has(availabilityZone)) {
                usable.push(registered);
            }
        }
        this.#usable.set(service, usable);
        return usable;
    }
}
