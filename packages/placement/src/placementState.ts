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
    readonly #deps: PlacementStateDeps;
    readonly #coldAdmission: ColdServerAdmission;
    readonly #advertisedLimits = new AdvertisedLimits();
    readonly #exclusions = new ServerExclusions();
    readonly #limitAdmission: LimitAdmission;
    readonly #probeBudget: ProbeBudget;
    readonly #probeAssignments: ProbeAssignments;
    readonly #recentSends = new RecentSends();
    readonly #priorityMix = new PriorityMix();
    readonly #statusCaches = new Map<string, StatusCache>();

    constructor(deps: PlacementStateDeps) {
        this.#deps = deps;
        this.random = deps.random;
        this.policy = deps.policy ?? defaultPlacementPolicy;
        this.#coldAdmission = new ColdServerAdmission(deps.name);
        this.#limitAdmission = new LimitAdmission(deps.name, deps.availabilityZone);
        this.#probeBudget = new ProbeBudget(deps.startedAtMs);
        this.#probeAssignments = new ProbeAssignments({ ...deps, policy: this.policy });
    }

    /** Records the arrival of a request for a service. @param priority - 0 is the highest priority */
    onRequest(service: string, priority: number, nowMs: number): void {
        this.#priorityMix.onRequest(service, priority, nowMs);
    }

    /** Records a probe response. @param probedAtMs - when the probe was sent */
    onProbeResponse(service: string, status: ServerStatus, probedAtMs: number): void {
        this.suspects.onProbeResponse(status.serverId);
        this.#recordStatus(service, status, probedAtMs, true);
    }

    /** Records the load that came with the response to a request. Only probe responses report a cold start. */
    onLoadReport(service: string, server: RegisteredServer, load: LoadReport, nowMs: number): void {
        const previous = this.#statusCacheOf(service).get(server.id);
        const coldRemainingMs = previous === undefined
            ? 0
            : Math.max(0, previous.status.coldRemainingMs - (nowMs - previous.observedAtMs));
        this.#recordStatus(
            service,
            {
                serverId: server.id,
                availabilityZone: server.availabilityZone,
                load,
                slots: server.slots,
                healthy: previous?.status.healthy ?? true,
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
        return this.#advertisedLimits.onResponse(server, limit, source, nowMs);
    }

    /**
     * Records that a server asked this gateway to back off.
     *
     * @returns when the back-off ends, if it has been extended
     */
    onBackoff(server: RegisteredServer, forMs: number, nowMs: number): number | undefined {
        return this.#exclusions.onBackoff(server, forMs, nowMs);
    }

    /** Records that a server is leaving. @returns whether that wasn't known */
    onLeaving(server: RegisteredServer): boolean {
        return this.#exclusions.onLeaving(server);
    }

    /** @returns why a server is excluded now; `undefined` if it may be sent requests */
    exclusionOf(server: RegisteredServer, nowMs: number): ServerExclusion | undefined {
        return this.#exclusions.exclusionOf(server, nowMs);
    }

    /** Records that a server failed a request. */
    onFailure(service: string, serverId: string, nowMs: number): void {
        this.suspects.onFailure(serverId, nowMs);
        this.#statusCacheOf(service).invalidate(serverId);
    }

    /** Records a load probe that a server didn't answer. */
    onProbeUnanswered(service: string, serverId: string, nowMs: number): void {
        this.suspects.onProbeUnanswered(serverId, nowMs);
        this.#statusCacheOf(service).invalidate(serverId);
    }

    /**
     * Discards failures and statuses of a service's servers after an outage of this host's network, which caused them.
     */
    onConnectivityRestored(service: string, serverIds: readonly string[]): void {
        const statusCache = this.#statusCacheOf(service);
        for (const serverId of serverIds) {
            this.suspects.onSuccess(serverId);
            statusCache.invalidate(serverId);
        }
    }

    /** @returns what is known of each of a service's servers */
    evaluate(
        rules: ServiceRules,
        servers: readonly RegisteredServer[],
        { objectiveMs, priority }: { readonly objectiveMs: number; readonly priority: number; },
        snapshot: FleetSnapshot,
    ): readonly ServerCandidate[] {
        const statusCache = this.#statusCacheOf(rules.name);
        const typicalLatencyMs = this.typicalLatency.of(rules.name, objectiveMs);
        return servers.map(server =>
            this.#evaluateServer(server, statusCache, rules, typicalLatencyMs, priority, snapshot)
        );
    }

    /** Chooses the candidates that a request may probe now, and counts the probes. */
    takeProbes(
        candidates: readonly ServerCandidate[],
        purpose: ProbePurpose,
        maxProbes: number,
        snapshot: FleetSnapshot,
    ): readonly RegisteredServer[] {
        const assignment = this.#assignmentOf(candidates, snapshot);
        return this.#probeBudget.take({
            ordered: candidates.map(({ server }) => server),
            purpose,
            maxProbes,
            shareOf: assignment.shareOf,
            nowMs: snapshot.nowMs,
        });
    }

    /** @returns the candidates in probe order */
    orderForProbing(candidates: readonly ServerCandidate[], snapshot: FleetSnapshot): readonly ServerCandidate[] {
        const { nowMs } = snapshot;
        const assignment = this.#assignmentOf(candidates, snapshot);
        const byId = new Map(candidates.map(candidate => [candidate.server.id, candidate]));
        const ordered = orderForProbing({
            servers: candidates.map(({ server }) => server),
            availabilityZone: this.#deps.availabilityZone,
            isInSubset: assignment.isInGroup,
            isSuspect: id => this.suspects.isSuspect(id, nowMs),
            goodChanceOf: id => byId.get(id)?.goodChance ?? 0,
            random: this.random,
        });
        return ordered.flatMap(({ id }) => byId.get(id) ?? []);
    }

    /** Records a request sent to a server. */
    onSend(rules: ServiceRules, { status }: ServerScore, snapshot: FleetSnapshot): void {
        this.#recentSends.onSend(status.serverId, snapshot.nowMs);
        this.#limitAdmission.onSend(status.serverId, snapshot.nowMs);
        if (status.coldRemainingMs > 0) {
            this.#coldAdmission.onSend(createColdAdmissionInput(status.serverId, rules, snapshot));
        }
    }

    /** Drops the entries of servers that are no longer registered. */
    retain(serverIds: ReadonlySet<string>): void {
        this.suspects.retain(serverIds);
        this.#probeBudget.retain(serverIds);
        this.#probeAssignments.retain(serverIds);
        this.#coldAdmission.retain(serverIds);
        this.#advertisedLimits.retain(serverIds);
        this.#exclusions.retain(serverIds);
        this.#limitAdmission.retain(serverIds);
        this.#recentSends.retain(serverIds);
        for (const statusCache of this.#statusCaches.values()) {
            statusCache.retain(serverIds);
        }
    }

    #recordStatus(service: string, status: ServerStatus, observedAtMs: number, isProbeResponse: boolean): void {
        const score = scoreServer(status, {
            typicalLatencyMs: 0,
            sentSinceReport: 0,
            sameZone: true,
            suspect: false,
            reservedSlots: 0,
        }, this.policy);
        this.#statusCacheOf(service).onStatus(
            status,
            status.healthy && isGood(score, this.policy),
            observedAtMs,
            isProbeResponse,
        );
    }

    #evaluateServer(
        server: RegisteredServer,
        statusCache: StatusCache,
        rules: ServiceRules,
        typicalLatencyMs: number,
        priority: number,
        snapshot: FleetSnapshot,
    ): ServerCandidate {
        const { nowMs } = snapshot;
        const latest = statusCache.get(server.id);
        const limit = this.#advertisedLimits.of(server);
        const limitedForMs = limit === undefined
            ? 0
            : this.#limitAdmission.waitMs(createLimitAdmissionInput(server, limit, snapshot));
        if (latest === undefined) {
            const admitted = limitedForMs === 0;
            const goodChance = admitted ? statusCache.goodChanceOf(server.id, true, nowMs) : 0;
            return {
                server,
                score: undefined,
                ageMs: Infinity,
                probedAgoMs: Infinity,
                goodChance,
                admitted,
                limitedForMs,
            };
        }
        const ageMs = nowMs - latest.observedAtMs;
        const status = { ...latest.status, coldRemainingMs: Math.max(0, latest.status.coldRemainingMs - ageMs) };
        const score = scoreServer(status, {
            typicalLatencyMs,
            sentSinceReport: this.#recentSends.countSince(server.id, latest.observedAtMs),
            sameZone: server.availabilityZone === this.#deps.availabilityZone,
            suspect: this.suspects.isSuspect(server.id, nowMs),
            reservedSlots: this.#priorityMix.reservedSlots(
                rules.name,
                priority,
                status.load?.slots ?? status.slots,
                nowMs,
            ),
        }, this.policy);
        const isColdAdmitted = status.coldRemainingMs <= 0
            || this.#coldAdmission.maySend(createColdAdmissionInput(server.id, rules, snapshot));
        const admitted = limitedForMs === 0 && isColdAdmitted;
        const goodChance = admitted
            ? statusCache.goodChanceOf(server.id, latest.wasGood && isGood(score, this.policy), nowMs)
            : 0;
        return {
            server,
            score,
            ageMs,
            probedAgoMs: nowMs - latest.probedAtMs,
            goodChance,
            admitted,
            limitedForMs,
        };
    }

    #statusCacheOf(service: string): StatusCache {
        const statusCache = this.#statusCaches.get(service) ?? new StatusCache();
        this.#statusCaches.set(service, statusCache);
        return statusCache;
    }

    #assignmentOf([first]: readonly ServerCandidate[], snapshot: FleetSnapshot): ProbeAssignment {
        return this.#probeAssignments.of(first?.server.service ?? "", snapshot.usable, snapshot);
    }
}

function createColdAdmissionInput(serverId: string, rules: ServiceRules, snapshot: FleetSnapshot): ColdAdmissionInput {
    return {
        serverId,
        requestsPerSecond: rules.coldRequestsPerSecond,
        gateways: snapshot.gateways,
        sinceStoreContactMs: snapshot.sinceStoreContactMs,
        nowMs: snapshot.nowMs,
    };
}

function createLimitAdmissionInput(
    { id, availabilityZone }: RegisteredServer,
    limit: AdvertisedLimit,
    snapshot: FleetSnapshot,
): LimitAdmissionInput {
    return {
        serverId: id,
        availabilityZone,
        limit,
        gateways: snapshot.gateways,
        zoneGateways: snapshot.zoneGateways,
        serverZoneGateways: snapshot.gatewaysByZone?.get(availabilityZone) ?? [],
        nowMs: snapshot.nowMs,
    };
}
