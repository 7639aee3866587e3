import { type ServerId, type ServerSignal } from "@galenaglade/routing";
import { type ServerMetadata, type AttemptCompletion } from "./serverMetadata.js";
import { type ColdStartHeartbeat, type GatewayRoster, type HeartbeatRound } from "./coldStartHeartbeat.js";
import { type ServerLimits } from "./serverState.js";
import { type StoreCommand, type StoreReply } from "./storeCommand.js";

/** One server as the configuration declares it to the gate. */
export interface GatedServer {
    readonly serverId: ServerId;
    readonly limits: ServerLimits;
    /** Whether its availability zone is in; one that comes back in counts as cold. */
    readonly isZoneInService: boolean;
}

/** How a gateway takes a backend server to stand. */
export type ServerReadiness = "cold" | "warm" | "leaving";

/**
 * Says to which backend servers a gateway may send now. It takes events with their monotonic times in milliseconds,
 * does no I/O, and is asked in the very turn in which a request is sent.
 */
export abstract class ServerPermitGate {
    /** The lease that the permits are held by; to be revoked in a planned stop, after the last request has ended. */
    abstract get leaseId(): string | undefined;
    /**
     * @param serverId - the server
     * @param nowMs - the present time
     * @param deadlineMs - when the attempt ends at the latest
     * @returns `yes` only if the request may be sent in this turn
     */
    abstract maySend(serverId: ServerId, nowMs: number, deadlineMs: number): "yes" | "no";
    /**
     * Whether this gateway has exchanged words with a majority lately, or so lately that it may again in a moment. If
     * not, {@link maySend} allows nothing, and nothing shows that it will.
     */
    abstract hasPeerContact(nowMs: number): boolean;
    /** @returns how this gateway takes a server to stand; `undefined` for one that isn't declared */
    abstract getReadiness(serverId: ServerId): ServerReadiness | undefined;
    /** Notes that a request has been handed to a connection, in the turn that {@link maySend} allowed it. */
    abstract onSent(serverId: ServerId, requestId: string, nowMs: number, deadlineMs: number): void;
    /**
     * Asked where a connection had to be opened between {@link onSent} and the first byte: the process may have been
     * stopped meanwhile, and what allowed the request may be over.
     *
     * @returns whether the first byte may be sent in this turn; if not, the request is to be ended as cancelled
     */
    abstract mayStillSend(serverId: ServerId, requestId: string, nowMs: number): boolean;
    /** Notes the end of a request. */
    abstract onEnd(serverId: ServerId, requestId: string, end: AttemptCompletion, nowMs: number): void;
    /** Takes what the server's health or load endpoint says. */
    abstract onReport(serverId: ServerId, signs: ServerMetadata, nowMs: number): void;
    /** Takes what the platform's host list says of the server's host. */
    abstract onHostListed(serverId: ServerId, state: "live" | "leaving", nowMs: number): void;
    /** Takes a peer's signal. */
    abstract onSignal(signal: ServerSignal, nowMs: number): void;
    /** Takes the servers as the present configuration declares them. */
    abstract onServers(servers: readonly GatedServer[], nowMs: number): void;
    abstract onRoster(roster: GatewayRoster, nowMs: number): void;
    /**
     * Begins a round of heartbeats.
     *
     * @returns what every heartbeat of it says
     */
    abstract beginRound(nowMs: number): ColdStartHeartbeat;
    /** Takes the answers of a round that {@link beginRound} began at `round.startedAtMs`. */
    abstract onRound(round: HeartbeatRound, nowMs: number): void;
    /**
     * Takes a peer's heartbeat.
     *
     * @returns what the answer to it says
     */
    abstract onHeartbeat(word: ColdStartHeartbeat, nowMs: number): ColdStartHeartbeat;
    abstract onStoreReply(reply: StoreReply, nowMs: number): void;
    /**
     * To be called some times a second.
     *
     * @returns calls of the store that are due
     */
    abstract tick(nowMs: number): readonly StoreCommand[];
    /** @returns what peers should hear at once; each signal is returned once and repeated in heartbeats */
    abstract takeUrgentSignals(nowMs: number): readonly ServerSignal[];
}
