import { contactLimitMs, LeaseKeeper, type StoreCommand, type StoreReply } from "@galenaglade/cold-start";
import { type RandomSource, type ServerId } from "@galenaglade/routing";
import { probesPerGatewayPerSecond, silentAfterMs } from "./constants.js";
import { Seat } from "./seat.js";

/** One service as the configuration declares its probing. */
export interface ProbedService {
    readonly service: string;
    /** Budget per server, all gateways together. */
    readonly probesPerSecond: number;
    /** Gateways that may probe. */
    readonly seats: number;
    readonly serverIds: readonly ServerId[];
}

interface ProbedServer {
    probedAtMs: number;
    heardAtMs: number;
}

class ServiceProbing {
    declared: ProbedService;
    readonly servers = new Map<ServerId, ProbedServer>();
    /** When the present budget was declared. */
    declaredAtMs: number;
    /** From when this gateway may probe under the present budget; infinite until a majority has heard of it. */
    startsAtMs = Number.POSITIVE_INFINITY;
    /** Longest spacing, by the present budget and the one before, that a probe may still have behind it. */
    #longestSpacingMs: number;
    readonly #self: string;
    readonly #seats = new Map<number, Seat>();

    constructor(self: string, declared: ProbedService, nowMs: number) {
        this.#self = self;
        this.declared = declared;
        this.declaredAtMs = nowMs;
        this.#longestSpacingMs = this.spacingMs;
    }

    /** Time between two probes of one server by one seat; each seat spends its share and saves nothing up. */
    get spacingMs(): number {
        return this.declared.seats * 1_000 / this.declared.probesPerSecond;
    }

    /** The seat among the present number of seats. One among another number is kept, since its key is still held. */
    get seat(): Seat {
        const { seats, service } = this.declared;
        const seat = this.#seats.get(seats) ?? new Seat(this.#self, service, seats);
        this.#seats.set(seats, seat);
        return seat;
    }

    onReply(reply: StoreReply, nowMs: number): void {
        for (const seat of this.#seats.values()) {
            seat.onReply(reply, nowMs);
        }
    }

    declare(declared: ProbedService, nowMs: number): void {
        const formerSpacingMs = this.spacingMs;
        const isSame = declared.seats === this.declared.seats
            && declared.probesPerSecond === this.declared.probesPerSecond;
        this.declared = declared;
        if (!isSame) {
            this.declaredAtMs = nowMs;
            this.startsAtMs = Number.POSITIVE_INFINITY;
            this.#longestSpacingMs = Math.max(formerSpacingMs, this.spacingMs);
        }
        this.#retainServers();
    }

    /** Shares of two budgets could add up to more than either, so no gateway goes by the new one beside the former. */
    onContact(startedAtMs: number, nowMs: number): void {
        if (this.startsAtMs === Number.POSITIVE_INFINITY && startedAtMs >= this.declaredAtMs) {
            this.startsAtMs = nowMs + contactLimitMs + this.#longestSpacingMs;
        }
    }

    /** The holder before may have probed just before its lease lapsed, so a new one lets one spacing pass first. */
    mayProbe(leaseId: string | undefined, nowMs: number): boolean {
        return this.seat.isHeld(leaseId)
            && nowMs >= this.seat.heldSinceMs + this.spacingMs
            && nowMs >= this.startsAtMs;
    }

    #retainServers(): void {
        const former = new Map(this.servers);
        this.servers.clear();
        for (const serverId of this.declared.serverIds) {
            const server = former.get(serverId) ?? { probedAtMs: -Infinity, heardAtMs: -Infinity };
            this.servers.set(serverId, server);
        }
    }
}

/**
 * Spends a gateway's share of the probe budget. Load rides on answers for nothing; only servers whose answers are
 * silent are probed, and only from a seat.
 */
export class ProbeScheduler {
    readonly #self: string;
    readonly #random: RandomSource;
    readonly #lease = new LeaseKeeper();
    readonly #services = new Map<string, ServiceProbing>();
    #contactAtMs = Number.NEGATIVE_INFINITY;
    #nextProbeAtMs = Number.NEGATIVE_INFINITY;

    constructor(self: string, random: RandomSource) {
        this.#self = self;
        this.#random = random;
    }

    /** Takes the services as the present configuration declares them. */
    onServices(services: readonly ProbedService[], nowMs: number): void {
        const declared = new Set(services.map(each => each.service));
        for (const service of services) {
            const probing = this.#services.get(service.service) ?? new ServiceProbing(this.#self, service, nowMs);
            this.#services.set(service.service, probing);
            probing.declare(service, nowMs);
        }
        for (const name of this.#services.keys()) {
            if (!declared.has(name)) {
                this.#services.delete(name);
            }
        }
    }

    /** Notes a round of heartbeats, begun at `startedAtMs`, that showed this gateway's configuration to be current. */
    onContact(startedAtMs: number, nowMs: number): void {
        this.#contactAtMs = Math.max(this.#contactAtMs, startedAtMs);
        for (const probing of this.#services.values()) {
            probing.onContact(startedAtMs, nowMs);
        }
    }

    /** Notes that the server's load is known, from an answer, a probe or a peer, as of `atMs`. */
    onHeard(serverId: ServerId, atMs: number): void {
        for (const probing of this.#services.values()) {
            const server = probing.servers.get(serverId);
            if (server !== undefined) {
                server.heardAtMs = Math.max(server.heardAtMs, atMs);
            }
        }
    }

    onStoreReply(reply: StoreReply, nowMs: number): void {
        this.#lease.onReply(reply);
        for (const probing of this.#services.values()) {
            probing.onReply(reply, nowMs);
        }
    }

    /** @returns calls of the store that are due */
    tick(nowMs: number): readonly StoreCommand[] {
        const commands: StoreCommand[] = [...this.#lease.tick(nowMs)];
        for (const { seat } of this.#services.values()) {
            const command = seat.next(this.#lease.leaseId, this.#random.next(), nowMs);
            if (command !== undefined) {
                commands.push(command);
            }
        }
        return commands;
    }

    /**
     * Takes one probe out of the budget. It has to be sent in the same turn, or {@link mayStillSend} asked in the turn
     * of the send: a holder that is stopped and continued comes by one of them before it sends.
     *
     * @param nowMs - the present time
     * @returns the server to probe now, or `undefined`; to be called again until it says so
     */
    takeProbe(nowMs: number): ServerId | undefined {
        if (nowMs < this.#nextProbeAtMs || !this.#mayAct(nowMs)) {
            return undefined;
        }
        const due = this.#longestSilent(nowMs);
        if (due === undefined) {
            return undefined;
        }
        // Counted when sent: a probe that gets no answer has cost the server as much as any other.
        due.server.probedAtMs = nowMs;
        this.#nextProbeAtMs = nowMs + 1_000 / probesPerGatewayPerSecond;
        return due.serverId;
    }

    /**
     * Asked in the turn of the first byte, where a connection had to be opened since {@link takeProbe}.
     *
     * @param serverId - the server that was taken
     * @param takenAtMs - when it was taken
     * @param nowMs - the present time
     * @returns whether the probe may leave now; the next one is counted from now
     */
    mayStillSend(serverId: ServerId, takenAtMs: number, nowMs: number): boolean {
        for (const probing of this.#services.values()) {
            const server = probing.servers.get(serverId);
            // A gateway that stood still while it connected would probe from a seat that another has taken since, or
            // late, right before its own next probe: the server would see more probes than its budget.
            const isCurrent = server?.probedAtMs === takenAtMs && this.#mayAct(nowMs);
            if (server !== undefined && isCurrent && probing.mayProbe(this.#lease.leaseId, nowMs)) {
                server.probedAtMs = nowMs;
                return true;
            }
        }
        return false;
    }

    #mayAct(nowMs: number): boolean {
        return nowMs < this.#contactAtMs + contactLimitMs && this.#lease.isValid(nowMs);
    }

    #longestSilent(nowMs: number): { readonly serverId: ServerId; readonly server: ProbedServer; } | undefined {
        let longest: { readonly serverId: ServerId; readonly server: ProbedServer; } | undefined;
        for (const probing of this.#services.values()) {
            if (!probing.mayProbe(this.#lease.leaseId, nowMs)) {
                continue;
            }
            for (const [serverId, server] of probing.servers) {
                const isDue = nowMs >= server.probedAtMs + probing.spacingMs
                    && nowMs >= server.heardAtMs + silentAfterMs;
                if (isDue && (longest === undefined || lastKnown(server) < lastKnown(longest.server))) {
                    longest = { serverId, server };
                }
            }
        }
        return longest;
    }
}

function lastKnown(server: ProbedServer): number {
    return Math.max(server.heardAtMs, server.probedAtMs);
}
