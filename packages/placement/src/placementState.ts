import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import { orderForProbing } from "./probeOrder.js";
import { ColdServerAdmission, type ColdAdmissionInput } from "./coldServerAdmission.js";
import { StatusCache } from "./statusCache.js";
import { type LoadReport, type ServerStatus } from "./serverStatus.js";
import { defaultPlacementPolicy, type PlacementPolicy } from "./policy.js";
import { ProbeBudget, type ProbePurpose } from "./probeBudget.js";
import { type ProbingFleet } from "./probeGroups.js";
import { PriorityMix } from "./priorityMix.js";
import { RecentSends } from "./recentSends.js";
import { isGood, scoreServer, type ServerScore } from "./serverScore.js";
import { type ProbeAssignment, ProbeAssignments } from "./probeAssignments.js";
import { LimitAdmission, type LimitAdmissionInput } from "./limitAdmission.js";
import {
    type AdvertisedLimitChange,
    type LimitSource,
    type ParsedLimit,
    type AdvertisedLimit,
    AdvertisedLimits,
} from "./advertisedLimits.js";
import { type ServerExclusion, ServerExclusions } from "./serverExclusions.js";
import { SuspectServers } from "./suspectServers.js";
import { TypicalLatency } from "./typicalLatency.js";

/** What a board is made with. */
export interface PlacementStateDeps {
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
export interface FleetSnapshot extends ProbingFleet {
    /** Servers of the service that may be given work. */
    readonly usable: readonly RegisteredServer[];
    /** Since the store last answered this gateway. */
    readonly sinceStoreContactMs: number;
    /** Until the first of the servers ends its rest, where all others of the service get nothing; `undefined` where none rests. */
    readonly restingForMs?: number | undefined;
    readonly nowMs: number;
}

/** What is known of one server at one moment. */
export interface ServerCandidate {
    readonly server: RegisteredServer;
    /** By what it said last; `undefined` where nothing is known. */
    readonly score: ServerScore | undefined;
    /** How old that is. */
    readonly ageMs: number;
    /** How long ago it was asked itself and answered. */
    readonly probedAgoMs: number;
    /** Chance that it is good now, from 0 to 1. */
    readonly goodChance: number;
    /** Whether work may be sent there: a cold server, or one that named a limit, has owners and takes little from each. */
    readonly admitted: boolean;
    /** How long the server's limit keeps this gateway from it; 0 where it doesn't. */
    readonly limitedForMs: number;
}

/**
 * What one gateway has learnt of backend servers, shared by all its requests: what they said of their load, what was sent
 * there since, whom to trust, how long work takes, and what may still be asked.
 */
export class PlacementState {
    readonly suspects = new SuspectServers();
    readonly typicalLatency = new TypicalLatency();
    readonly random: RandomSource;
    readonly policy: PlacementPolicy;
    readonly #parts: PlacementStateDeps;
    readonly #cold: ColdServerAdmission;
    readonly #limits = new AdvertisedLimits();
    readonly #notices = new ServerExclusions();
    readonly #limited: LimitAdmission;
    readonly #probes: ProbeBudget;
    readonly #serviceProbes: ProbeAssignments;
    readonly #sends = new RecentSends();
    readonly #ranks = new PriorityMix();
    readonly #memories = new Map<string, StatusCache>();

    constructor(parts: PlacementStateDeps) {
        this.#parts = parts;
        this.random = parts.random;
        this.policy = parts.policy ?? defaultPlacementPolicy;
        this.#cold = new ColdServerAdmission(parts.name);
        this.#limited = new LimitAdmission(parts.name, parts.availabilityZone);
        this.#probes = new ProbeBudget(parts.startedAtMs);
        this.#serviceProbes = new ProbeAssignments({ ...parts, policy: this.policy });
    }

    /** A request for a service has arrived. @param rank - 0 is the most urgent */
    onRequest(service: string, rank: number, nowMs: number): void {
        this.#ranks.onRequest(service, rank, nowMs);
    }

    /** A server answered for itself. @param atMs - when it was asked */
    onProbeResponse(service: string, offer: ServerStatus, atMs: number): void {
        this.suspects.onProbeResponse(offer.serverId);
        this.#remember(service, offer, atMs, true);
    }

    /** A server told its load with the answer to a request. How long it is cold it says only when it is asked. */
    onLoadReport(service: string, server: RegisteredServer, load: LoadReport, nowMs: number): void {
        const before = this.#memoryOf(service).get(server.id);
        const coldRemainingMs = before === undefined
            ? 0
            : Math.max(0, before.status.coldRemainingMs - (nowMs - before.observedAtMs));
        this.#remember(
            service,
            {
                serverId: server.id,
                availabilityZone: server.availabilityZone,
                load,
                slots: server.slots,
                healthy: before?.status.healthy ?? true,
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
    onLimit(
        server: RegisteredServer,
        limit: ParsedLimit,
        source: LimitSource,
        nowMs: number,
    ): AdvertisedLimitChange | undefined {
        return this.#limits.onResponse(server, limit, source, nowMs);
    }

    /** A server turned this gateway away and wants nothing for a while. @returns when that ends, where it is news */
    onBackoff(server: RegisteredServer, forMs: number, nowMs: number): number | undefined {
        return this.#notices.onBackoff(server, forMs, nowMs);
    }

    /** A server said that it leaves. @returns whether that is news */
    onLeaving(server: RegisteredServer): boolean {
        return this.#notices.onLeaving(server);
    }

    /** @returns why a server gets nothing at all of this gateway by its own word; `undefined` where it may */
    exclusionOf(server: RegisteredServer, nowMs: number): ServerExclusion | undefined {
        return this.#notices.exclusionOf(server, nowMs);
    }

    /** A server failed a request. */
    onFailure(service: string, serverId: string, nowMs: number): void {
        this.suspects.onFailure(serverId, nowMs);
        this.#memoryOf(service).invalidate(serverId);
    }

    /** A server did not tell its load when it was asked. */
    onProbeUnanswered(service: string, serverId: string, nowMs: number): void {
        this.suspects.onProbeUnanswered(serverId, nowMs);
        this.#memoryOf(service).invalidate(serverId);
    }

    /** This host's links to a service work again: what was learnt of its servers meanwhile was the links' doing. */
    onConnectivityRestored(service: string, serverIds: readonly string[]): void {
        const memory = this.#memoryOf(service);
        for (const serverId of serverIds) {
            this.suspects.onSuccess(serverId);
            memory.invalidate(serverId);
        }
    }

    /** @returns what is known of servers of a service */
    evaluate(
        rules: ServiceRules,
        servers: readonly RegisteredServer[],
        { objectiveMs, priority: priority }: { readonly objectiveMs: number; readonly priority: number; },
        sight: FleetSnapshot,
    ): readonly ServerCandidate[] {
        const memory = this.#memoryOf(rules.name);
        const typicalMs = this.typicalLatency.of(rules.name, objectiveMs);
        return servers.map(server => this.#rate(server, memory, rules, typicalMs, priority, sight));
    }

    /** Takes whom a request may probe now out of those that it would probe. */
    takeProbes(
        rated: readonly ServerCandidate[],
        purpose: ProbePurpose,
        wanted: number,
        sight: FleetSnapshot,
    ): readonly RegisteredServer[] {
        const probes = this.#probesOf(rated, sight);
        return this.#probes.take({
            ordered: rated.map(({ server }) => server),
            purpose,
            maxProbes: wanted,
            shareOf: probes.shareOf,
            nowMs: sight.nowMs,
        });
    }

    /** @returns rated servers by who is to be probed first */
    orderForProbing(rated: readonly ServerCandidate[], sight: FleetSnapshot): readonly ServerCandidate[] {
        const { nowMs } = sight;
        const probes = this.#probesOf(rated, sight);
        const byId = new Map(rated.map(each => [each.server.id, each]));
        const ordered = orderForProbing({
            servers: rated.map(({ server }) => server),
            availabilityZone: this.#parts.availabilityZone,
            isInSubset: probes.isInGroup,
            isSuspect: id => this.suspects.isSuspect(id, nowMs),
            goodChanceOf: id => byId.get(id)?.goodChance ?? 0,
            random: this.random,
        });
        return ordered.flatMap(({ id }) => byId.get(id) ?? []);
    }

    /** A request goes to a server. */
    onSend(rules: ServiceRules, { status }: ServerScore, sight: FleetSnapshot): void {
        this.#sends.onSend(status.serverId, sight.nowMs);
        this.#limited.onSend(status.serverId, sight.nowMs);
        if (status.coldRemainingMs > 0) {
            this.#cold.onSend(createColdInput(status.serverId, rules, sight));
        }
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        this.suspects.retain(serverIds);
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

    #remember(service: string, offer: ServerStatus, atMs: number, wasAsked: boolean): void {
        const score = scoreServer(offer, {
            typicalLatencyMs: 0,
            sentSinceReport: 0,
            sameZone: true,
            suspect: false,
            reservedSlots: 0,
        }, this.policy);
        this.#memoryOf(service).onStatus(offer, offer.healthy && isGood(score, this.policy), atMs, wasAsked);
    }

    #rate(
        server: RegisteredServer,
        memory: StatusCache,
        rules: ServiceRules,
        typicalMs: number,
        rank: number,
        sight: FleetSnapshot,
    ): ServerCandidate {
        const { nowMs } = sight;
        const last = memory.get(server.id);
        const limit = this.#limits.of(server);
        const limitedForMs = limit === undefined ? 0 : this.#limited.waitMs(createLimitInput(server, limit, sight));
        if (last === undefined) {
            const admitted = limitedForMs === 0;
            const chance = admitted ? memory.goodChanceOf(server.id, true, nowMs) : 0;
            return {
                server,
                score: undefined,
                ageMs: Infinity,
                probedAgoMs: Infinity,
                goodChance: chance,
                admitted,
                limitedForMs,
            };
        }
        const ageMs = nowMs - last.observedAtMs;
        const offer = { ...last.status, coldRemainingMs: Math.max(0, last.status.coldRemainingMs - ageMs) };
        const score = scoreServer(offer, {
            typicalLatencyMs: typicalMs,
            sentSinceReport: this.#sends.countSince(server.id, last.observedAtMs),
            sameZone: server.availabilityZone === this.#parts.availabilityZone,
            suspect: this.suspects.isSuspect(server.id, nowMs),
            reservedSlots: this.#ranks.reservedSlots(rules.name, rank, offer.load?.slots ?? offer.slots, nowMs),
        }, this.policy);
        const mayTakeCold = offer.coldRemainingMs <= 0 || this.#cold.maySend(createColdInput(server.id, rules, sight));
        const admitted = limitedForMs === 0 && mayTakeCold;
        const chance = admitted ? memory.goodChanceOf(server.id, last.wasGood && isGood(score, this.policy), nowMs) : 0;
        return {
            server,
            score,
            ageMs,
            probedAgoMs: nowMs - last.probedAtMs,
            goodChance: chance,
            admitted,
            limitedForMs,
        };
    }

    #memoryOf(service: string): StatusCache {
        const memory = this.#memories.get(service) ?? new StatusCache();
        this.#memories.set(service, memory);
        return memory;
    }

    #probesOf([first]: readonly ServerCandidate[], sight: FleetSnapshot): ProbeAssignment {
        return this.#serviceProbes.of(first?.server.service ?? "", sight.usable, sight);
    }
}

function createColdInput(serverId: string, rules: ServiceRules, sight: FleetSnapshot): ColdAdmissionInput {
    return {
        serverId,
        requestsPerSecond: rules.coldRequestsPerSecond,
        gateways: sight.gateways,
        sinceStoreContactMs: sight.sinceStoreContactMs,
        nowMs: sight.nowMs,
    };
}

function createLimitInput(
    { id, availabilityZone }: RegisteredServer,
    limit: AdvertisedLimit,
    sight: FleetSnapshot,
): LimitAdmissionInput {
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
