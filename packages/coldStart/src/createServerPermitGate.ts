import { type ServerId, type ServerSignal } from "@galenaglade/routing";
import { type ServerMetadata, type AttemptCompletion } from "./serverMetadata.js";
import { AbsenceTracker } from "./absenceTracker.js";
import { WarmUpAuthority } from "./warmUpAuthority.js";
import {
    cancellationGraceMs,
    contactTimeoutMs,
    contactRecoveryMs,
    signalRepeatDurationMs,
    permitIdleTimeoutMs,
    maxWarmSignalsPerHeartbeat,
} from "./constants.js";
import { DepartedGateways } from "./departedGateways.js";
import { GatedServerState, type WarmUp } from "./gatedServerState.js";
import {
    type ColdStartHeartbeat,
    type GatewayRoster,
    type HeartbeatRound,
    type ColdServerReport,
} from "./coldStartHeartbeat.js";
import { InheritedRequests } from "./inheritedRequests.js";
import { LeaseKeeper } from "./leaseKeeper.js";
import { type GatedServer, ServerPermitGate, type ServerReadiness } from "./serverPermitGate.js";
import { type StoreCommand, type StoreReply } from "./storeCommand.js";

class WarmUpPermitGate extends ServerPermitGate {
    readonly #self: string;
    readonly #servers = new Map<ServerId, GatedServerState>();
    readonly #lease = new LeaseKeeper();
    readonly #authority: WarmUpAuthority;
    readonly #absences: AbsenceTracker;
    readonly #departed = new DepartedGateways();
    #urgentServers = new Set<ServerId>();
    #lastContactAtMs = Number.NEGATIVE_INFINITY;
    #warmCursor = 0;

    constructor(self: string) {
        super();
        this.#self = self;
        this.#absences = new AbsenceTracker(self);
        this.#authority = new WarmUpAuthority(self, this.#lease);
    }

    override get leaseId(): string | undefined {
        return this.#lease.leaseId;
    }

    override maySend(serverId: ServerId, nowMs: number, deadlineMs: number): "yes" | "no" {
        const server = this.#servers.get(serverId);
        if (server === undefined || !this.#isAvailable(server, nowMs)) {
            return "no";
        }
        if (server.state.isConfirmedWarm(nowMs)) {
            // All gateways may send until they detect a server that turned cold unannounced; this bounds the total.
            return server.state.inFlight(nowMs) < server.state.limits.slots ? "yes" : "no";
        }
        return this.#mayWarmUp(server, nowMs, deadlineMs) ? "yes" : "no";
    }

    override hasPeerContact(nowMs: number): boolean {
        return nowMs < this.#lastContactAtMs + contactTimeoutMs + contactRecoveryMs;
    }

    override getReadiness(serverId: ServerId): ServerReadiness | undefined {
        const server = this.#servers.get(serverId);
        if (server === undefined) {
            return undefined;
        }
        if (server.leaving.isLeaving) {
            return "leaving";
        }
        return server.state.isWarm ? "warm" : "cold";
    }

    override onSent(serverId: ServerId, requestId: string, nowMs: number, deadlineMs: number): void {
        const server = this.#servers.get(serverId);
        if (server !== undefined) {
            server.state.onSent(requestId, deadlineMs, server.warmUp?.authorityId, nowMs);
        }
    }

    override mayStillSend(serverId: ServerId, requestId: string, nowMs: number): boolean {
        const server = this.#servers.get(serverId);
        const sent = server?.state.getRequest(requestId);
        if (server === undefined || sent === undefined || !this.#isAvailable(server, nowMs)) {
            return false;
        }
        if (server.state.isConfirmedWarm(nowMs)) {
            return true;
        }
        return !sent.wasWarm && this.#resolveWarmUp(server, nowMs)?.authorityId === sent.authorityId;
    }

    override onEnd(serverId: ServerId, requestId: string, end: AttemptCompletion, nowMs: number): void {
        const server = this.#servers.get(serverId);
        if (server === undefined) {
            return;
        }
        const wasWarm = server.state.isWarm;
        if (server.state.onEnd(requestId, end, nowMs) || server.state.isWarm !== wasWarm) {
            this.#recordChange(server, nowMs);
        }
        this.#onMetadata(server, end.metadata, "answer", nowMs);
    }

    override onReport(serverId: ServerId, metadata: ServerMetadata, nowMs: number): void {
        const server = this.#servers.get(serverId);
        if (server === undefined) {
            return;
        }
        if (server.state.onReport(metadata, nowMs)) {
            this.#recordChange(server, nowMs);
        }
        this.#onMetadata(server, metadata, "health", nowMs);
    }

    override onHostListed(serverId: ServerId, state: "live" | "leaving", nowMs: number): void {
        const server = this.#servers.get(serverId);
        if (server?.leaving.onReport("hostList", state === "leaving", undefined, nowMs) === true) {
            this.#onLeavingChanged(server, nowMs);
        }
    }

    override onSignal(signal: ServerSignal, nowMs: number): void {
        const server = this.#servers.get(signal.serverId);
        if (server === undefined) {
            return;
        }
        if (signal.kind === "leaving") {
            if (server.leaving.onReport("peer", true, signal.incarnation, nowMs - signal.ageMs)) {
                this.#recordChange(server, nowMs);
            }
            return;
        }
        const isWarm = signal.kind === "warm";
        if (server.state.merge(signal.epoch, isWarm, signal.incarnation, nowMs - signal.ageMs)) {
            this.#recordChange(server, nowMs);
        }
    }

    override onServers(servers: readonly GatedServer[], nowMs: number): void {
        const declared = new Set<ServerId>();
        for (const { serverId, limits, isZoneInService } of servers) {
            declared.add(serverId);
            const server = this.#servers.get(serverId) ?? new GatedServerState(this.#self, serverId, limits);
            this.#servers.set(serverId, server);
            server.state.limits = limits;
            this.#updateZone(server, isZoneInService, nowMs);
        }
        for (const [serverId, server] of this.#servers) {
            if (declared.has(serverId)) {
                continue;
            }
            this.#updateZone(server, false, nowMs);
            // Requests still in flight must count if the server is declared again.
            if (server.state.inFlight(nowMs) === 0) {
                this.#servers.delete(serverId);
            }
        }
    }

    override onRoster(roster: GatewayRoster, nowMs: number): void {
        if (roster.version <= this.#authority.roster.version) {
            return;
        }
        const members = new Set([...roster.members, ...roster.previous ?? []]);
        for (const former of this.#rosterMembers()) {
            if (!members.has(former)) {
                this.#departed.add(former);
            }
        }
        this.#authority.onRoster(roster);
        this.#absences.onRoster(nowMs);
    }

    override beginRound(nowMs: number): ColdStartHeartbeat {
        const heartbeat = this.#createHeartbeat(nowMs);
        this.#authority.beginRound(heartbeat.absent, nowMs);
        return heartbeat;
    }

    override onRound(round: HeartbeatRound, nowMs: number): void {
        for (const response of round.responses) {
            this.#mergeHeartbeat(response, nowMs);
        }
        if (this.#authority.onRound(round, nowMs)) {
            this.#recordContact(round.startedAtMs);
            this.#departed.confirmStopped(nowMs);
        }
        for (const response of round.responses) {
            for (const report of response.words) {
                this.#onServerReport(response.from, report, round.startedAtMs);
            }
        }
    }

    override onHeartbeat(heartbeat: ColdStartHeartbeat, nowMs: number): ColdStartHeartbeat {
        this.#mergeHeartbeat(heartbeat, nowMs);
        this.#absences.onHeartbeat(heartbeat.from, nowMs);
        return { ...this.#createHeartbeat(nowMs), isAskerSuspended: this.#absences.isSuspended(heartbeat.from, nowMs) };
    }

    override onStoreReply(reply: StoreReply, nowMs: number): void {
        this.#lease.onReply(reply);
        for (const server of this.#servers.values()) {
            server.permit.onReply(reply, nowMs);
        }
    }

    override tick(nowMs: number): readonly StoreCommand[] {
        const commands: StoreCommand[] = [...this.#lease.tick(nowMs)];
        for (const server of this.#servers.values()) {
            const command = this.#permitCommand(server, nowMs);
            if (command !== undefined) {
                commands.push(command);
            }
        }
        return commands;
    }

    override takeUrgentSignals(nowMs: number): readonly ServerSignal[] {
        const urgentServers = this.#urgentServers;
        this.#urgentServers = new Set();
        return [...urgentServers].flatMap(serverId => this.#servers.get(serverId)?.createSignals(nowMs) ?? []);
    }

    #isAvailable(server: GatedServerState, nowMs: number): boolean {
        // Without contact with a majority, a gateway may not know that the server turned cold or is leaving.
        return server.isZoneInService && !server.leaving.isLeaving && this.#authority.hasMajorityContact(nowMs);
    }

    #mayWarmUp(server: GatedServerState, nowMs: number, deadlineMs: number): boolean {
        server.lastRequestedAtMs = nowMs;
        if (!server.mayWarmUp(nowMs)) {
            return false;
        }
        const warmUp = this.#resolveWarmUp(server, nowMs);
        if (warmUp === undefined) {
            return false;
        }
        if (warmUp.authorityId.startsWith("lease") && deadlineMs - nowMs > server.permit.horizonMs) {
            // Without a wider horizon in the record, the request could outlast what the next holder accounts for.
            server.permit.widenHorizon(deadlineMs - nowMs);
            return false;
        }
        return warmUp.inheritedRequests.countInFlight(nowMs) + server.state.inFlight(nowMs)
            < server.state.warmUpConcurrency;
    }

    /** @returns the current authority to warm up the server, with the requests inherited at its start */
    #resolveWarmUp(server: GatedServerState, nowMs: number): WarmUp | undefined {
        const baseId = this.#resolveBaseAuthorityId(server, nowMs);
        if (baseId === undefined) {
            server.warmUp = undefined;
            return undefined;
        }
        // Requests sent while the server was warm are inherited each time that it turns cold.
        const authorityId = `${baseId}/${server.state.epoch}`;
        if (server.warmUp?.authorityId !== authorityId) {
            server.warmUp = {
                authorityId,
                inheritedRequests: this.#createInheritedRequests(server, nowMs),
            };
        }
        return server.warmUp;
    }

    #resolveBaseAuthorityId(server: GatedServerState, nowMs: number): string | undefined {
        const leaseAuthorityId = this.#authority.resolveLeaseAuthorityId(nowMs);
        if (leaseAuthorityId !== undefined && server.permit.isHeld(this.#lease.leaseId)) {
            return `lease/${leaseAuthorityId}/${server.permit.term}`;
        }
        const rosterAuthorityId = this.#authority.resolveRosterAuthorityId(server.state.serverId, nowMs);
        return rosterAuthorityId === undefined ? undefined : `roster/${rosterAuthorityId}`;
    }

    #createInheritedRequests(server: GatedServerState, nowMs: number): InheritedRequests {
        const { maxPatienceMs } = server.state.limits;
        const gateways = new Map<string, number>();
        for (const { gateway, horizonMs = maxPatienceMs } of server.permit.inheritedHolders) {
            gateways.set(gateway, nowMs + horizonMs + cancellationGraceMs);
        }
        for (const [gateway, stoppedAtMs] of this.#departed.stoppedAtMs) {
            gateways.set(gateway, stoppedAtMs + maxPatienceMs + cancellationGraceMs);
        }
        for (const gateway of this.#rosterMembers()) {
            gateways.set(gateway, nowMs + contactTimeoutMs + maxPatienceMs + cancellationGraceMs);
        }
        gateways.delete(this.#self);
        return new InheritedRequests(nowMs, gateways);
    }

    #permitCommand(server: GatedServerState, nowMs: number): StoreCommand | undefined {
        const { permit, state } = server;
        const isRequested = nowMs < server.lastRequestedAtMs + permitIdleTimeoutMs && !state.isConfirmedWarm(nowMs);
        if (!isRequested) {
            return state.inFlight(nowMs) === 0
                ? permit.nextReleaseCommand(this.#lease.leaseId, state.epoch, nowMs)
                : undefined;
        }
        if (permit.recordedEpoch > state.epoch) {
            state.merge(permit.recordedEpoch, false, undefined, nowMs);
        }
        if (server.warmUp?.inheritedRequests.countInFlight(nowMs) === 0) {
            permit.markInheritedEnded();
        }
        return permit.nextCommand(this.#lease.leaseId, state.epoch, nowMs);
    }

    #mergeHeartbeat(heartbeat: ColdStartHeartbeat, nowMs: number): void {
        this.#authority.mergeLeases(heartbeat, nowMs);
        this.#departed.merge(heartbeat.departures, nowMs);
        for (const signal of heartbeat.signals) {
            this.onSignal(signal, nowMs);
        }
    }

    /** Ignores reports with an older epoch: their sender may still learn that the server was warm, and send to it. */
    #onServerReport(from: string, report: ColdServerReport, requestedAtMs: number): void {
        const server = this.#servers.get(report.serverId);
        if (server !== undefined && report.epoch >= server.state.epoch) {
            server.warmUp?.inheritedRequests.onReport(from, requestedAtMs, report.inFlight);
        }
    }

    /** Signals are repeated for a limited time, so some may have been missed after a longer loss of contact. */
    #recordContact(startedAtMs: number): void {
        if (startedAtMs > this.#lastContactAtMs + signalRepeatDurationMs - contactTimeoutMs) {
            for (const server of this.#servers.values()) {
                server.state.clearWarmConfirmation();
            }
        }
        this.#lastContactAtMs = Math.max(this.#lastContactAtMs, startedAtMs);
    }

    /** A server is cold when its availability zone comes back; the first gateway to see that signals the others. */
    #updateZone(server: GatedServerState, isInService: boolean, nowMs: number): void {
        if (server.isZoneInService && !isInService) {
            server.epochAtZoneOut = server.state.epoch;
        }
        else if (isInService && !server.isZoneInService && server.state.epoch === server.epochAtZoneOut) {
            server.state.markCold(undefined);
            this.#recordChange(server, nowMs);
        }
        server.isZoneInService = isInService;
    }

    #onMetadata(
        server: GatedServerState,
        metadata: ServerMetadata,
        source: "answer" | "health",
        nowMs: number,
    ): void {
        if (metadata.state === undefined) {
            return;
        }
        if (server.leaving.onReport(source, metadata.state === "leaving", metadata.incarnation, nowMs)) {
            this.#onLeavingChanged(server, nowMs);
        }
    }

    #onLeavingChanged(server: GatedServerState, nowMs: number): void {
        if (!server.leaving.isLeaving) {
            server.state.markCold(undefined);
        }
        this.#recordChange(server, nowMs);
    }

    #recordChange(server: GatedServerState, nowMs: number): void {
        server.markChanged(nowMs);
        this.#urgentServers.add(server.state.serverId);
    }

    #rosterMembers(): readonly string[] {
        const { members, previous } = this.#authority.roster;
        return [...members, ...previous ?? []];
    }

    #createHeartbeat(nowMs: number): ColdStartHeartbeat {
        return {
            from: this.#self,
            rosterVersion: this.#authority.roster.version,
            leases: this.#authority.leases(nowMs),
            words: this.#createServerReports(nowMs),
            departures: this.#departed.createReports(nowMs),
            absent: this.#absences.reportAbsent(this.#authority.roster.members, nowMs),
            isAskerSuspended: false,
            signals: this.#createSignals(nowMs),
        };
    }

    #createServerReports(nowMs: number): readonly ColdServerReport[] {
        const reports: ColdServerReport[] = [];
        for (const { state } of this.#servers.values()) {
            if (!state.isConfirmedWarm(nowMs)) {
                reports.push({ serverId: state.serverId, epoch: state.epoch, inFlight: state.inFlight(nowMs) });
            }
        }
        return reports;
    }

    #createSignals(nowMs: number): readonly ServerSignal[] {
        const servers = [...this.#servers.values()];
        const signals = servers.flatMap(server => server.createSignals(nowMs));
        const warm = servers.filter(server => server.state.isConfirmedWarm(nowMs));
        const count = Math.min(warm.length, maxWarmSignalsPerHeartbeat);
        for (let i = 0; i < count; i++) {
            const server = warm[this.#warmCursor++ % warm.length];
            if (server !== undefined) {
                signals.push(server.createWarmSignal(nowMs));
            }
        }
        return signals;
    }
}

/**
 * Creates a gate that is based on warm-up permits.
 *
 * @param self - `name/incarnation` of this gateway
 * @returns the gate; it allows no requests until it has a roster, servers and contact with a majority
 */
export function createServerPermitGate(self: string): ServerPermitGate {
    return new WarmUpPermitGate(self);
}
