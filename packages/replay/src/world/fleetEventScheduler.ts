import { type FleetReplay } from "./fleetReplay.js";
import { type FleetEvent, type FleetEventAction } from "./scenario.js";
import { type SimulatedServer } from "./simulatedServer.js";

type ActionOf<T extends FleetEventAction["type"]> = Extract<FleetEventAction, { readonly type: T; }>;

/** Time from the arrival of a replacement until the replaced server goes down. */
const drainMs = 2_000;
/** Time from the first advertisement of a limit until gateways must enforce it. */
const limitSettleMs = 3_000;

/** Applies the events of a scenario to the fleet at their times. */
export class FleetEventScheduler {
    readonly #fleet: FleetReplay;

    constructor(fleet: FleetReplay) {
        this.#fleet = fleet;
    }

    scheduleAll(): void {
        for (const event of this.#fleet.scenario.events) {
            this.#after(event.atMs, () => this.#begin(event));
        }
    }

    #begin(event: FleetEvent): void {
        const { behavior } = this.#fleet.callerGenerator;
        switch (event.type) {
            case "burst":
                this.#during(event.forMs, behavior.bursts, event);
                return;
            case "restartGateways":
                this.#fleet.restartGateways(event.share, event.downMs);
                return;
            case "release":
                this.#release(event);
                return;
            case "zoneOut":
                this.#zoneOut(event);
                return;
            case "loseServers":
                this.#forServers(event, server => {
                    server.isDown = true;
                    return () => server.isDown = false;
                });
                return;
            case "turnAway":
                this.#forServers(event, server => {
                    server.rejectShare = event.rejects;
                    return () => server.rejectShare = 0;
                });
                return;
            case "restServers":
                this.#forServers(event, server => {
                    server.rejectShare = 1;
                    server.backoffMs = event.heeded ? event.restMs : undefined;
                    return () => {
                        server.rejectShare = 0;
                        server.backoffMs = undefined;
                    };
                });
                return;
            case "slowServers":
                this.#forServers(event, server => {
                    server.faultFactor = event.factor;
                    return () => server.faultFactor = 1;
                });
                return;
            case "limitServers":
                this.#forServers(event, server => {
                    server.limitPerSecond = event.perSecond;
                    server.limitEnforcedFromMs = this.#fleet.events.nowMs + limitSettleMs;
                    return () => server.limitPerSecond = undefined;
                });
                return;
            case "giveUp":
                this.#during(event.forMs, behavior.earlyDepartures, event);
                return;
            case "impatience":
                this.#during(event.forMs, behavior.impatience, event);
                return;
            case "moveCallers":
                this.#during(event.forMs, behavior.moves, event);
        }
    }

    #after(delayMs: number, run: () => void): void {
        this.#fleet.events.schedule(delayMs, run);
    }

    #during<T>(forMs: number, active: Set<T>, change: T): void {
        active.add(change);
        this.#after(forMs, () => active.delete(change));
    }

    #release({ share, gapMs, coldMs, service }: ActionOf<"release">): void {
        const { directory, events, scenario } = this.#fleet;
        for (const [i, old] of this.#pick(share, service).entries()) {
            this.#after(i * gapMs, () => {
                const group = scenario.services.find(({ name }) => name === old.registered.service);
                if (group !== undefined) {
                    this.#fleet.addServer(group, old.registered.availabilityZone, events.nowMs + coldMs);
                }
                old.isRegistered = false;
                directory.invalidateUsableServers();
                this.#after(drainMs, () => old.isDown = true);
            });
        }
    }

    #zoneOut({ zone, forMs, coldMs }: ActionOf<"zoneOut">): void {
        const { directory, events } = this.#fleet;
        directory.setZoneOut(zone, true);
        this.#after(forMs, () => {
            for (const server of directory.servers) {
                if (server.registered.availabilityZone === zone) {
                    server.coldUntilMs = events.nowMs + coldMs;
                }
            }
            directory.setZoneOut(zone, false);
        });
    }

    #forServers(
        event: { readonly share: number; readonly forMs: number; readonly service: string | undefined; },
        apply: (server: SimulatedServer) => () => void,
    ): void {
        for (const server of this.#pick(event.share, event.service)) {
            this.#after(event.forMs, apply(server));
        }
    }

    /** Picks servers at regular intervals, so that all zones are affected equally. */
    #pick(share: number, service: string | undefined): readonly SimulatedServer[] {
        const picked: SimulatedServer[] = [];
        let sum = 0;
        for (const server of this.#fleet.servers) {
            if (!server.isRegistered || (service !== undefined && server.registered.service !== service)) {
                continue;
            }
            sum += share;
            if (sum >= 1) {
                sum -= 1;
                picked.push(server);
            }
        }
        return picked;
    }
}
