import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import { orderToAsk } from "./askOrder.js";
import { ColdAdmission, type ColdInput } from "./coldAdmission.js";
import { LoadMemory } from "./loadMemory.js";
import { type LoadReport, type ServerOffer } from "./loadReport.js";
import { defaultPlacementPolicy, type PlacementPolicy } from "./policy.js";
import { ProbeBudget, type ProbePurpose } from "./probeBudget.js";
import { type ProbingFleet } from "./probeGroups.js";
import { RankMix } from "./rankMix.js";
import { RecentSends } from "./recentSends.js";
import { isGood, scoreServer, type ServerScore } from "./serverScore.js";
import { type ProbeParts, ServiceProbes } from "./serviceProbes.js";
import { LimitAdmission, type LimitInput } from "./limitAdmission.js";
import { type LimitChange, type LimitSource, type NamedLimit, type ServerLimit, ServerLimits } from "./serverLimits.js";
import { type ServerBar, ServerNotices } from "./serverNotices.js";
import { ServerTrust } from "./serverTrust.js";
import { TypicalWork } from "./typicalWork.js";

/** What a board is made with. */
export interface BoardParts {
    /** Name of this gateway, as in its registration. */
    readonly name: string;
    /** The gateway's own. */
    readonly availabilityZone: string;
    readonly random: RandomSource;
    /** Load probes from all gateways together, a server and second. */
    readonly probesPerServerAndSecond: number;
    readonly startedAtMs: number;
    readonly policy?: PlacementPolicy;
}

/** What is believed of the fleet at one moment. */
export interface FleetSight extends ProbingFleet {
    /** Servers of the service that may be given work. */
    readonly usable: readonly RegisteredServer[];
    /** Since the store last answered this gateway. */
    readonly sinceContactMs: number;
    /** Until the first of the servers ends its rest, where all others of the service get nothing; `undefined` where none rests. */
    readonly restingForMs?: number | undefined;
    readonly nowMs: number;
}

/** What is known of one server at one moment. */
export interface RatedServer {
    readonly server: RegisteredServer;
    /** By what it said last; `undefined` where nothing is known. */
    readonly score: ServerScore | undefined;
    /** How old that is. */
    readonly ageMs: number;
    /** How long ago it was asked itself and answered. */
    readonly askedAgoMs: number;
    /** Chance that it is good now, from 0 to 1. */
    readonly chance: number;
    /** Whether work may be sent there: a cold server, or one that named a limit, has owners and takes little from each. */
    readonly admitted: boolean;
    /** How long the server's limit keeps this gateway from it; 0 where it doesn't. */
    readonly limitedForMs: number;
}

/**
 * What one gateway has learnt of backend servers, shared by all its requests: what they said of their load, what was sent
 * there since, whom to trust, how long work takes, and what may still be asked.
 */
export class PlacementBoard {
    readonly trust = new ServerTrust();
    readonly work = new TypicalWork();
    readonly random: RandomSource;
    readonly policy: PlacementPolicy;
    readonly #parts: BoardParts;
    readonly #cold: ColdAdmission;
    readonly #limits = new ServerLimits();
    readonly #notices = new ServerNotices();
    readonly #limited: LimitAdmission;
    readonly #probes: ProbeBudget;
    readonly #serviceProbes: ServiceProbes;
    readonly #sends = new RecentSends();
    readonly #ranks = new RankMix();
    readonly #memories = new Map<string, LoadMemory>();

    constructor(parts: BoardParts) {
        this.#parts = parts;
        this.random = parts.random;
        this.policy = parts.policy ?? defaultPlacementPolicy;
        this.#cold = new ColdAdmission(parts.name);
        this.#limited = new LimitAdmission(parts.name, parts.availabilityZone);
        this.#probes = new ProbeBudget(parts.startedAtMs);
        this.#serviceProbes = new ServiceProbes({ ...parts, policy: this.policy });
    }

    /** A request for a service has arrived. @param rank - 0 is the most urgent */
    onRequest(service: string, rank: number, nowMs: number): void {
        this.#ranks.onRequest(service, rank, nowMs);
    }

    /** A server answered for itself. @param atMs - when it was asked */
    onOffer(service: string, offer: ServerOffer, atMs: number): void {
        this.trust.onTold(offer.serverId);
        this.#remember(service, offer, atMs, true);
    }

    /** A server told its load with the answer to a request. How long it is cold it says only when it is asked. */
    onLoad(service: string, server: RegisteredServer, load: LoadReport, nowMs: number): void {
        const before = this.#memoryOf(service).recall(server.id);
        const coldRemainingMs = before === undefined
            ? 0
            : Math.max(0, before.offer.coldRemainingMs - (nowMs - before.atMs));
        this.#remember(
            service,
            {
                serverId: server.id,
                availabilityZone: server.availabilityZone,
                load,
                slots: server.slots,
                healthy: before?.offer.healthy ?? true,
                coldRemainingMs,
            },
            nowMs,
            false,
        );
    }

    /**
     * A server answered, and named a limit or none.
     *
     * @param source - what it answered, and when that was sent
     * @returns what is believed otherwise now
     */
    onLimit(server: RegisteredServer, limit: NamedLimit, source: LimitSource, nowMs: number): LimitChange | undefined {
        return this.#limits.onAnswer(server, limit, source, nowMs);
    }

    /** A server turned this gateway away and wants nothing for a while. @returns when that ends, where it is news */
    onRest(server: RegisteredServer, forMs: number, nowMs: number): number | undefined {
        return this.#notices.onRest(server, forMs, nowMs);
    }

    /** A server said that it leaves. @returns whether that is news */
    onLeaving(server: RegisteredServer): boolean {
        return this.#notices.onLeaving(server);
    }

    /** @returns why a server gets nothing at all of this gateway by its own word; `undefined` where it may */
    barOf(server: RegisteredServer, nowMs: number): ServerBar | undefined {
        return this.#notices.barOf(server, nowMs);
    }

    /** A server failed a request. */
    onFailure(service: string, serverId: string, nowMs: number): void {
        this.trust.onFailure(serverId, nowMs);
        this.#memoryOf(service).forget(serverId);
    }

    /** A server did not tell its load when it was asked. */
    onSilent(service: string, serverId: string, nowMs: number): void {
        this.trust.onSilent(serverId, nowMs);
        this.#memoryOf(service).forget(serverId);
    }

    /** This host's links to a service work again: what was learnt of its servers meanwhile was the links' doing. */
    onLinksRestored(service: string, serverIds: readonly string[]): void {
        const memory = this.#memoryOf(service);
        for (const serverId of serverIds) {
            this.trust.onSuccess(serverId);
            memory.forget(serverId);
        }
    }

    /** @returns what is known of servers of a service */
    rate(
        rules: ServiceRules,
        servers: readonly RegisteredServer[],
        { objectiveMs, rank }: { readonly objectiveMs: number; readonly rank: number; },
        sight: FleetSight,
    ): readonly RatedServer[] {
        const memory = this.#memoryOf(rules.name);
        const typicalMs = this.work.of(rules.name, objectiveMs);
        return servers.map(server => this.#rate(server, memory, rules, typicalMs, rank, sight));
    }

    /** Takes whom a request may probe now out of those that it would probe. */
    takeProbes(
        rated: readonly RatedServer[],
        purpose: ProbePurpose,
        wanted: number,
        sight: FleetSight,
    ): readonly RegisteredServer[] {
        const probes = this.#probesOf(rated, sight);
        return this.#probes.take({
            ordered: rated.map(({ server }) => server),
            purpose,
            wanted,
            shareOf: probes.shareOf,
            nowMs: sight.nowMs,
        });
    }

    /** @returns rated servers by who is to be probed first */
    order(rated: readonly RatedServer[], sight: FleetSight): readonly RatedServer[] {
        const { nowMs } = sight;
        const probes = this.#probesOf(rated, sight);
        const byId = new Map(rated.map(each => [each.server.id, each]));
        const ordered = orderToAsk({
            servers: rated.map(({ server }) => server),
            availabilityZone: this.#parts.availabilityZone,
            isInSubset: probes.isInGroup,
            isSuspect: id => this.trust.isSuspect(id, nowMs),
            chanceOf: id => byId.get(id)?.chance ?? 0,
            random: this.random,
        });
        return ordered.flatMap(({ id }) => byId.get(id) ?? []);
    }

    /** A request goes to a server. */
    onSend(rules: ServiceRules, { offer }: ServerScore, sight: FleetSight): void {
        this.#sends.onSend(offer.serverId, sight.nowMs);
        this.#limited.onSend(offer.serverId, sight.nowMs);
        if (offer.coldRemainingMs > 0) {
            this.#cold.onSend(createColdInput(offer.serverId, rules, sight));
        }
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        this.trust.retain(serverIds);
        this.#probes.retain(serverIds);
        this.#serviceProbes.retain(serverIds);
        this.#cold.retain(serverIds);
        this.#limits.retain(serverIds);
        this.#notices.retain(serverIds);
        this.#limited.retain(serverIds);
        this.#sends.retain(serverIds);
        for (const memory of this.#memories.values()) {
            memory.retain(serverIds);
        }
    }

    #remember(service: string, offer: ServerOffer, atMs: number, wasAsked: boolean): void {
        const score = scoreServer(offer, {
            typicalMs: 0,
            sentSince: 0,
            sameZone: true,
            suspect: false,
            reservedSlots: 0,
        }, this.policy);
        this.#memoryOf(service).onOffer(offer, offer.healthy && isGood(score, this.policy), atMs, wasAsked);
    }

    #rate(
        server: RegisteredServer,
        memory: LoadMemory,
        rules: ServiceRules,
        typicalMs: number,
        rank: number,
        sight: FleetSight,
    ): RatedServer {
        const { nowMs } = sight;
        const last = memory.recall(server.id);
        const limit = this.#limits.of(server);
        const limitedForMs = limit === undefined ? 0 : this.#limited.waitMs(createLimitInput(server, limit, sight));
        if (last === undefined) {
            const admitted = limitedForMs === 0;
            const chance = admitted ? memory.chanceOf(server.id, true, nowMs) : 0;
            return { server, score: undefined, ageMs: Infinity, askedAgoMs: Infinity, chance, admitted, limitedForMs };
        }
        const ageMs = nowMs - last.atMs;
        const offer = { ...last.offer, coldRemainingMs: Math.max(0, last.offer.coldRemainingMs - ageMs) };
        const score = scoreServer(offer, {
            typicalMs,
            sentSince: this.#sends.since(server.id, last.atMs),
            sameZone: server.availabilityZone === this.#parts.availabilityZone,
            suspect: this.trust.isSuspect(server.id, nowMs),
            reservedSlots: this.#ranks.reservedSlots(rules.name, rank, offer.load?.slots ?? offer.slots, nowMs),
        }, this.policy);
        const mayTakeCold = offer.coldRemainingMs <= 0 || this.#cold.mayTake(createColdInput(server.id, rules, sight));
        const admitted = limitedForMs === 0 && mayTakeCold;
        const chance = admitted ? memory.chanceOf(server.id, last.wasGood && isGood(score, this.policy), nowMs) : 0;
        return { server, score, ageMs, askedAgoMs: nowMs - last.askedAtMs, chance, admitted, limitedForMs };
    }

    #memoryOf(service: string): LoadMemory {
        const memory = this.#memories.get(service) ?? new LoadMemory();
        this.#memories.set(service, memory);
        return memory;
    }

    #probesOf([first]: readonly RatedServer[], sight: FleetSight): ProbeParts {
        return this.#serviceProbes.of(first?.server.service ?? "", sight.usable, sight);
    }
}

function createColdInput(serverId: string, rules: ServiceRules, sight: FleetSight): ColdInput {
    return {
        serverId,
        requestsPerSecond: rules.coldRequestsPerSecond,
        gateways: sight.gateways,
        sinceContactMs: sight.sinceContactMs,
        nowMs: sight.nowMs,
    };
}

function createLimitInput(
    { id, availabilityZone }: RegisteredServer,
    limit: ServerLimit,
    sight: FleetSight,
): LimitInput {
    return {
        serverId: id,
        availabilityZone,
        limit,
        gateways: sight.gateways,
        zoneGateways: sight.zoneGateways,
        serverZoneGateways: sight.gatewaysByZone?.get(availabilityZone) ?? [],
        nowMs: sight.nowMs,
    };
}
