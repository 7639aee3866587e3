import { type ServerId, type ServerSignal } from "@galenaglade/routing";
import { type AnswerSigns, type AttemptEnd } from "./answerSigns.js";
import { Absences } from "./absences.js";
import { Authority } from "./authority.js";
import {
    cancellationMarginMs,
    contactLimitMs,
    regainContactMs,
    signalRepeatMs,
    wantedMs,
    warmSignalsPerHeartbeat,
} from "./constants.js";
import { Departures } from "./departures.js";
import { GatedServerState, type WarmUp } from "./gatedServerState.js";
import { type ColdStartWord, type GatewayRoster, type HeartbeatRound, type ServerWord } from "./heartbeatRound.js";
import { InheritedWork } from "./inheritedWork.js";
import { LeaseKeeper } from "./leaseKeeper.js";
import { type GatedServer, ServerGate, type ServerStanding } from "./serverGate.js";
import { type StoreCommand, type StoreReply } from "./storeCommand.js";

class PermitServerGate extends ServerGate {
    readonly #self: string;
    readonly #servers = new Map<ServerId, GatedServerState>();
    readonly #lease = new LeaseKeeper();
    readonly #authority: Authority;
    readonly #absences: Absences;
    readonly #departures = new Departures();
    #urgent = new Set<ServerId>();
    #lastContactMs = Number.NEGATIVE_INFINITY;
    #warmCursor = 0;

    constructor(self: string) {
        super();
        this.#self = self;
        this.#absences = new Absences(self);
        this.#authority = new Authority(self, this.#lease);
    }

    override get leaseId(): string | undefined {
        return this.#lease.leaseId;
    }

    override maySend(serverId: ServerId, nowMs: number, deadlineMs: number): "yes" | "no" {
        const server = this.#servers.get(serverId);
        if (server === undefined || !this.#isOpen(server, nowMs)) {
            return "no";
        }
        if (server.state.isFree(nowMs)) {
            // Until a server that turned cold without a word is found out, all gateways may send. This bounds the sum.
            return server.state.inFlight(nowMs) < server.state.limits.slots ? "yes" : "no";
        }
        return this.#mayWarmUp(server, nowMs, deadlineMs) ? "yes" : "no";
    }

    override isInTouch(nowMs: number): boolean {
        return nowMs < this.#lastContactMs + contactLimitMs + regainContactMs;
    }

    override stateOf(serverId: ServerId): ServerStanding | undefined {
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
            server.state.onSent(requestId, deadlineMs, server.warmUp?.stretch, nowMs);
        }
    }

    override mayStillSend(serverId: ServerId, requestId: string, nowMs: number): boolean {
        const server = this.#servers.get(serverId);
        const sent = server?.state.request(requestId);
        if (server === undefined || sent === undefined || !this.#isOpen(server, nowMs)) {
            return false;
        }
        if (server.state.isFree(nowMs)) {
            return true;
        }
        return !sent.wasWarm && this.#resolveWarmUp(server, nowMs)?.stretch === sent.stretch;
    }

    override onEnd(serverId: ServerId, requestId: string, end: AttemptEnd, nowMs: number): void {
        const server = this.#servers.get(serverId);
        if (server === undefined) {
            return;
        }
        const wasWarm = server.state.isWarm;
        if (server.state.onEnd(requestId, end, nowMs) || server.state.isWarm !== wasWarm) {
            this.#noteChange(server, nowMs);
        }
        this.#onSigns(server, end.signs, "answer", nowMs);
    }

    override onReport(serverId: ServerId, signs: AnswerSigns, nowMs: number): void {
        const server = this.#servers.get(serverId);
        if (server === undefined) {
            return;
        }
        if (server.state.onReport(signs, nowMs)) {
            this.#noteChange(server, nowMs);
        }
        this.#onSigns(server, signs, "health", nowMs);
    }

    override onHostListed(serverId: ServerId, state: "live" | "leaving", nowMs: number): void {
        const server = this.#servers.get(serverId);
        if (server?.leaving.onWord("hostList", state === "leaving", undefined, nowMs) === true) {
            this.#onLeavingChanged(server, nowMs);
        }
    }

    override onSignal(signal: ServerSignal, nowMs: number): void {
        const server = this.#servers.get(signal.serverId);
        if (server === undefined) {
            return;
        }
        if (signal.kind === "leaving") {
            if (server.leaving.onWord("peer", true, signal.incarnation, nowMs - signal.ageMs)) {
                this.#noteChange(server, nowMs);
            }
            return;
        }
        const isWarm = signal.kind === "warm";
        if (server.state.learn(signal.epoch, isWarm, signal.incarnation, nowMs - signal.ageMs)) {
            this.#noteChange(server, nowMs);
        }
    }

    override onServers(servers: readonly GatedServer[], nowMs: number): void {
        const declared = new Set<ServerId>();
        for (const { serverId, limits, isIn } of servers) {
            declared.add(serverId);
            const server = this.#servers.get(serverId) ?? new GatedServerState(this.#self, serverId, limits);
            this.#servers.set(serverId, server);
            server.state.limits = limits;
            this.#onZone(server, isIn, nowMs);
        }
        for (const [serverId, server] of this.#servers) {
            if (declared.has(serverId)) {
                continue;
            }
            this.#onZone(server, false, nowMs);
            // What is still in flight has to be counted if the server is declared again.
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
                this.#departures.leave(former);
            }
        }
        this.#authority.onRoster(roster);
        this.#absences.onRoster(nowMs);
    }

    override beginRound(nowMs: number): ColdStartWord {
        const word = this.#word(nowMs);
        this.#authority.beginRound(word.absent, nowMs);
        return word;
    }

    override onRound(round: HeartbeatRound, nowMs: number): void {
        for (const answer of round.answers) {
            this.#hear(answer, nowMs);
        }
        if (this.#authority.onRound(round, nowMs)) {
            this.#noteContact(round.startedAtMs);
            this.#departures.date(nowMs);
        }
        for (const answer of round.answers) {
            for (const word of answer.words) {
                this.#hearServerWord(answer.from, word, round.startedAtMs);
            }
        }
    }

    override onHeartbeat(word: ColdStartWord, nowMs: number): ColdStartWord {
        this.#hear(word, nowMs);
        this.#absences.onAsked(word.from, nowMs);
        return { ...this.#word(nowMs), isAskerSuspended: this.#absences.isSuspended(word.from, nowMs) };
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
        const urgent = this.#urgent;
        this.#urgent = new Set();
        return [...urgent].flatMap(serverId => this.#servers.get(serverId)?.signals(nowMs) ?? []);
    }

    #isOpen(server: GatedServerState, nowMs: number): boolean {
        // Out of touch with the majority, a gateway may not have heard that the server turned cold or is leaving.
        return server.isIn && !server.leaving.isLeaving && this.#authority.hasContact(nowMs);
    }

    #mayWarmUp(server: GatedServerState, nowMs: number, deadlineMs: number): boolean {
        server.wantedAtMs = nowMs;
        if (!server.mayWarmUp(nowMs)) {
            return false;
        }
        const warmUp = this.#resolveWarmUp(server, nowMs);
        if (warmUp === undefined) {
            return false;
        }
        if (warmUp.stretch.startsWith("lease") && deadlineMs - nowMs > server.permit.horizonMs) {
            // Sent without a wider record, it could outlast what the next holder counts.
            server.permit.need(deadlineMs - nowMs);
            return false;
        }
        return warmUp.inherited.count(nowMs) + server.state.inFlight(nowMs) < server.state.warmUpLimit;
    }

    /** @returns the present authority to warm the server up, with the work inherited at its beginning */
    #resolveWarmUp(server: GatedServerState, nowMs: number): WarmUp | undefined {
        const stretch = this.#resolveStretch(server, nowMs);
        if (stretch === undefined) {
            server.warmUp = undefined;
            return undefined;
        }
        // What was sent while the server was warm is inherited anew each time that it turns cold.
        const name = `${stretch}/${server.state.epoch}`;
        if (server.warmUp?.stretch !== name) {
            server.warmUp = { stretch: name, inherited: this.#openInherited(server, nowMs) };
        }
        return server.warmUp;
    }

    #resolveStretch(server: GatedServerState, nowMs: number): string | undefined {
        const leaseStretch = this.#authority.leaseAuthority(nowMs);
        if (leaseStretch !== undefined && server.permit.isHeld(this.#lease.leaseId)) {
            return `lease/${leaseStretch}/${server.permit.term}`;
        }
        const rosterStretch = this.#authority.rosterAuthority(server.state.serverId, nowMs);
        return rosterStretch === undefined ? undefined : `roster/${rosterStretch}`;
    }

    #openInherited(server: GatedServerState, nowMs: number): InheritedWork {
        const { longestPatienceMs } = server.state.limits;
        const gateways = new Map<string, number>();
        for (const { gateway, horizonMs } of server.permit.inherited) {
            gateways.set(gateway, nowMs + horizonMs + cancellationMarginMs);
        }
        for (const [gateway, stoppedAtMs] of this.#departures.stoppedAtMs) {
            gateways.set(gateway, stoppedAtMs + longestPatienceMs + cancellationMarginMs);
        }
        for (const gateway of this.#rosterMembers()) {
            gateways.set(gateway, nowMs + contactLimitMs + longestPatienceMs + cancellationMarginMs);
        }
        gateways.delete(this.#self);
        return new InheritedWork(nowMs, gateways);
    }

    #permitCommand(server: GatedServerState, nowMs: number): StoreCommand | undefined {
        const { permit, state } = server;
        const isWanted = nowMs < server.wantedAtMs + wantedMs && !state.isFree(nowMs);
        if (!isWanted) {
            return state.inFlight(nowMs) === 0 ? permit.release(this.#lease.leaseId, state.epoch, nowMs) : undefined;
        }
        if (permit.recordedEpoch > state.epoch) {
            state.learn(permit.recordedEpoch, false, undefined, nowMs);
        }
        if (server.warmUp?.inherited.count(nowMs) === 0) {
            permit.settle();
        }
        return permit.next(this.#lease.leaseId, state.epoch, nowMs);
    }

    #hear(word: ColdStartWord, nowMs: number): void {
        this.#authority.hear(word, nowMs);
        this.#departures.hear(word.departures, nowMs);
        for (const signal of word.signals) {
            this.onSignal(signal, nowMs);
        }
    }

    /** A speaker that knows of fewer turns to cold may still learn that the server was warm before the last. */
    #hearServerWord(from: string, word: ServerWord, askedAtMs: number): void {
        const server = this.#servers.get(word.serverId);
        if (server !== undefined && word.epoch >= server.state.epoch) {
            server.warmUp?.inherited.hear(from, askedAtMs, word.inFlight);
        }
    }

    /** Signals are repeated for a while only: after longer without contact, some may have been missed. */
    #noteContact(startedAtMs: number): void {
        if (startedAtMs > this.#lastContactMs + signalRepeatMs - contactLimitMs) {
            for (const server of this.#servers.values()) {
                server.state.forgetEvidence();
            }
        }
        this.#lastContactMs = Math.max(this.#lastContactMs, startedAtMs);
    }

    /** An availability zone that comes back counts as cold. Whichever gateway hears of it first tells the others. */
    #onZone(server: GatedServerState, isIn: boolean, nowMs: number): void {
        if (server.isIn && !isIn) {
            server.epochWhenOut = server.state.epoch;
        }
        else if (isIn && !server.isIn && server.state.epoch === server.epochWhenOut) {
            server.state.turnCold(undefined);
            this.#noteChange(server, nowMs);
        }
        server.isIn = isIn;
    }

    #onSigns(server: GatedServerState, signs: AnswerSigns, source: "answer" | "health", nowMs: number): void {
        if (signs.state === undefined) {
            return;
        }
        if (server.leaving.onWord(source, signs.state === "leaving", signs.incarnation, nowMs)) {
            this.#onLeavingChanged(server, nowMs);
        }
    }

    #onLeavingChanged(server: GatedServerState, nowMs: number): void {
        if (!server.leaving.isLeaving) {
            server.state.turnCold(undefined);
        }
        this.#noteChange(server, nowMs);
    }

    #noteChange(server: GatedServerState, nowMs: number): void {
        server.noteChange(nowMs);
        this.#urgent.add(server.state.serverId);
    }

    #rosterMembers(): readonly string[] {
        const { members, previous } = this.#authority.roster;
        return [...members, ...previous ?? []];
    }

    #word(nowMs: number): ColdStartWord {
        return {
            from: this.#self,
            rosterVersion: this.#authority.roster.version,
            leases: this.#authority.leases(nowMs),
            words: this.#serverWords(nowMs),
            departures: this.#departures.words(nowMs),
            absent: this.#absences.say(this.#authority.roster.members, nowMs),
            isAskerSuspended: false,
            signals: this.#signals(nowMs),
        };
    }

    #serverWords(nowMs: number): readonly ServerWord[] {
        const words: ServerWord[] = [];
        for (const { state } of this.#servers.values()) {
            if (!state.isFree(nowMs)) {
                words.push({ serverId: state.serverId, epoch: state.epoch, inFlight: state.inFlight(nowMs) });
            }
        }
        return words;
    }

    #signals(nowMs: number): readonly ServerSignal[] {
        const servers = [...this.#servers.values()];
        const signals = servers.flatMap(server => server.signals(nowMs));
        const warm = servers.filter(server => server.state.isFree(nowMs));
        const count = Math.min(warm.length, warmSignalsPerHeartbeat);
        for (let i = 0; i < count; i++) {
            const server = warm[this.#warmCursor++ % warm.length];
            if (server !== undefined) {
                signals.push(server.warmSignal(nowMs));
            }
        }
        return signals;
    }
}

/**
 * Makes the gate that rests on warm-up permits.
 *
 * @param self - `name/incarnation` of this gateway
 * @returns the gate; it lets nothing through until it has heard of a roster, servers and a majority
 */
export function createServerGate(self: string): ServerGate {
    return new PermitServerGate(self);
}
