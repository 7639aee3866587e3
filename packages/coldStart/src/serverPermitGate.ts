import { type ServerId, type ServerSignal } from "@galenaglade/routing";
import { type ServerMetadata, type AttemptCompletion } from "./serverMetadata.js";
import { type ColdStartHeartbeat, type GatewayRoster, type HeartbeatRound } from "./coldStartHeartbeat.js";
import { type ServerLimits } from "./serverState.js";
import { type StoreCommand, type StoreReply } from "./storeCommand.js";

/** One server as declared by the configuration. */
export interface GatedServer {
    readonly serverId: ServerId;
    readonly limits: ServerLimits;
    /** Whether its availability zone is in service; a server whose zone comes back is considered cold. */
    readonly isZoneInService: boolean;
}

/** State of a backend server as known to a gateway. */
export type ServerReadiness = "cold" | "warm" | "leaving";

/**
 * Decides to which backend servers a gateway may send now. It receives events with their monotonic times in
 * milliseconds, does no I/O, and must be called in the same event loop turn in which a request is sent.
 */
export abstract class ServerPermitGate {
    /** Lease under which the permits are held; to be revoked in a planned stop, after the last request has ended. */
    abstract get leaseId(): string | undefined;
    /**
     * @param serverId - the server
     * @param nowMs - current monotonic time
     * @param deadlineMs - monotonic time by which the attempt ends at the latest
     * @returns `yes` only if the request may be sent in this turn
     */
    abstract maySend(serverId: ServerId, nowMs: number, deadlineMs: number): "yes" | "no";
    /**
     * Whether this gateway has recent contact with a majority, or lost it so recently that it may be regained at once.
     * Otherwise {@link maySend} allows no requests, and is not expected to soon.
     */
    abstract hasPeerContact(nowMs: number): boolean;
    /** @returns the state of a server as known to this gateway; `undefined` if the server is not declared */
    abstract getReadiness(serverId: ServerId): ServerReadiness | undefined;
    /** Records a request that is handed to a connection, in the same turn in which {@link maySend} allowed it. */
    abstract onSent(serverId: ServerId, requestId: string, nowMs: number, deadlineMs: number): void;
    /**
     * To be called if a connection had to be opened between {@link onSent} and the first byte: the process may have
     * been paused in between, and the permission may have expired.
     *
     * @returns whether the first byte may be sent in this turn; if not, the request must be ended as cancelled
     */
    abstract mayStillSend(serverId: ServerId, requestId: string, nowMs: number): boolean;
    /** Records the end of a request. */
    abstract onEnd(serverId: ServerId, requestId: string, end: AttemptCompletion, nowMs: number): void;
    /** Handles metadata from the server's health or load endpoint. */
    abstract onReport(serverId: ServerId, metadata: ServerMetadata, nowMs: number): void;
    /** Handles the state of the server's host in the platform's host list. */
    abstract onHostListed(serverId: ServerId, state: "live" | "leaving", nowMs: number): void;
    /** Handles a signal from a peer. */
    abstract onSignal(signal: ServerSignal, nowMs: number): void;
    /** Replaces the declared servers by those of the current configuration. */
    abstract onServers(servers: readonly GatedServer[], nowMs: number): void;
    abstract onRoster(roster: GatewayRoster, nowMs: number): void;
    /**
     * Begins a round of heartbeats.
     *
     * @returns the heartbeat to send to every peer
     */
    abstract beginRound(nowMs: number): ColdStartHeartbeat;
    /** Handles the responses of a round that {@link beginRound} began at `round.startedAtMs`. */
    abstract onRound(round: HeartbeatRound, nowMs: number): void;
    /**
     * Handles a heartbeat from a peer.
     *
     * @returns the response to it
     */
    abstract onHeartbeat(heartbeat: ColdStartHeartbeat, nowMs: number): ColdStartHeartbeat;
    abstract onStoreReply(reply: StoreReply, nowMs: number): void;
    /**
     * To be called several times a second.
     *
     * @returns the store calls that are due
     */
    abstract tick(nowMs: number): readonly StoreCommand[];
    /** @returns signals to send to peers immediately; each is returned once, and repeated in heartbeats */
    abstract takeUrgentSignals(nowMs: number): readonly ServerSignal[];
}
