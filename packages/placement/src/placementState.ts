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

/** Dependencies and settings of {@link PlacementState}. */
export interface PlacementStateDeps {
    /** Name of this gateway, as registered. */
    readonly name: string;
    /** Zone of this gateway. */
    readonly availabilityZone: string;
    readonly random: RandomSource;
    /** Load probes per second that one server gets from all gateways together. */
    readonly probesPerServerAndSecond: number;
    readonly startedAtMs: number;
    readonly policy?: PlacementPolicy;
}

/** View of the fleet at one moment. */
export interface FleetSnapshot extends ProbingFleet {
    /** Servers of the service that may be sent requests. */
    readonly usable: readonly RegisteredServer[];
    /** Time since the store last responded to this gateway. */
    readonly sinceStoreContactMs: number;
    /**
     * Time until the first back-off of a server ends, if no server of the service may be sent requests; `undefined` if
     * no server has asked for a back-off.
     */
    readonly restingForMs?: number | undefined;
    readonly nowMs: number;
}

/** A server that a request may be sent to, with what is known of it. */
export interface ServerCandidate {
    readonly server: RegisteredServer;
    /** Score by the latest status; `undefined` if there is none. */
    readonly score: ServerScore | undefined;
    /** Age of the latest status. */
    readonly ageMs: number;
    /** Time since the last probe that the server answered. */
    readonly probedAgoMs: number;
    /** Probability that the server is good now, from 0 to 1. */
    readonly goodChance: number;
    /**
     * Whether a request may be sent now: a cold server, or one with a limit, accepts a low rate from each of its
     * owners.
     */
    readonly admitted: boolean;
    /** Time until the server's advertised limit allows a request of this gateway; 0 if it allows one now. */
    readonly limitedForMs: number;
}

/**
 * What one gateway knows of backend servers, shared by all its requests: their latest load, requests sent since,
 * suspected servers, typical latencies, limits and the probe budget.
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

    /** Records the arrival of a request for a service. @param rank - 0 is the highest priority */
    onRequest(service: string, rank: number, nowMs: number): void {
        this.#ranks.onRequest(service, rank, nowMs);
    }

    /** Records a probe response. @param atMs - when the probe was sent */
    onProbeResponse(service: string, offer: ServerStatus, atMs: number): void {
        this.suspects.onProbeResponse(offer.serverId);
        this.#remember(service, offer, atMs, true);
    }

    /** Records the load that came with the response to a request. Only probe responses report a cold start. */
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
     * Handles the limit in a server's response.
     *
     * @param source - the exchange in which the server responded
     * @returns the change of the server's limit, if any
     */
    onLimit(
        server: RegisteredServer,
        limit: ParsedLimit,
        source: LimitSource,
        nowMs: number,
    ): AdvertisedLimitChange | undefined {
        return this.#limits.onResponse(server, limit, source, nowMs);
    }

    /**
     * Records that a server asked this gateway to back off.
     *
     * @returns when the back-off ends, if it has been extended
     */
    onBackoff(server: RegisteredServer, forMs: number, nowMs: number): number | undefined {
        return this.#notices.onBackoff(server, forMs, nowMs);
    }

    /** Records that a server is leaving. @returns whether that wasn't known */
    onLeaving(server: RegisteredServer): boolean {
        return this.#notices.onLeaving(server);
    }

    /** @returns why a server is excluded now; `undefined` if it may be sent requests */
    exclusionOf(server: RegisteredServer, nowMs: number): ServerExclusion | undefined {
        return this.#notices.exclusionOf(server, nowMs);
    }

    /** Records that a server failed a request. */
    onFailure(service: string, serverId: string, nowMs: number): void {
        this.suspects.onFailure(serverId, nowMs);
        this.#memoryOf(service).invalidate(serverId);
    }

    /** Records a load probe that a server didn't answer. */
    onProbeUnanswered(service: string, serverId: string, nowMs: number): void {
        this.suspects.onProbeUnanswered(serverId, nowMs);
        this.#memoryOf(service).invalidate(serverId);
    }

    /**
     * Discards failures and statuses of a service's servers after an outage of this host's network, which caused them.
     */
    onConnectivityRestored(service: string, serverIds: readonly string[]): void {
        const memory = this.#memoryOf(service);
        for (const serverId of serverIds) {
            this.suspects.onSuccess(serverId);
            memory.invalidate(serverId);
        }
    }

    /** @returns what is known of each of a service's servers */
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

    /** Chooses the candidates that a request may probe now, and counts the probes. */
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

    /** @returns the candidates in probe order */
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

    /** Records a request sent to a server. */
    onSend(rules: ServiceRules, { status }: ServerScore, sight: FleetSnapshot): void {
        this.#sends.onSend(status.serverId, sight.nowMs);
        this.#limited.onSend(status.serverId, sight.nowMs);
        if (status.coldRemainingMs > 0) {
            this.#cold.onSend(createColdInput(status.serverId, rules, sight));
        }
    }

    /** Drops the entries of servers that are no longer registered. */
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
