import { type ColdStartHeartbeat } from "@galenaglade/cold-start";
import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type Failure } from "@galenaglade/errors";
import { type FleetStatus, type FleetTimings, type GatewayIdentity, type Roster } from "@galenaglade/membership";
import { type HostList, type KeyValueStore } from "@galenaglade/platform";
import { type ServerLoad, type ServerSignal } from "@galenaglade/routing";
import { type Either } from "purify-ts";
import { type Clock } from "./clock.js";
import { type PeerCaller, type PeerListener } from "./peerCaller.js";
import { type ObserveServers } from "./serverObservation.js";

/** Options of a gateway's {@link FleetMembership}. */
export interface FleetMembershipOptions {
    readonly store: KeyValueStore;
    /** Shows which hosts have ended; without it only an operator can confirm this. */
    readonly hosts?: HostList | undefined;
    readonly name: string;
    /** Unique for each start of the process; random by default. */
    readonly incarnation?: string | undefined;
    readonly availabilityZone: string;
    /** Address of the peer port; port 0 for any free one. */
    readonly listen: { readonly host: string; readonly port: number; };
    /** Peer addresses to start without the store. */
    readonly seeds: readonly string[];
    readonly fleetKey: string;
    readonly timings?: FleetTimings | undefined;
    /** Replaces the process's clock in tests. */
    readonly clock?: Clock | undefined;
    /** Replaces the peer port in tests. */
    readonly listener?: PeerListener | undefined;
    /** Replaces the calls to peers in tests. */
    readonly caller?: PeerCaller | undefined;
}

/**
 * Receives a peer's signals. If they arrive in the response to a heartbeat, their ages include the duration of the
 * call; if they arrive in a peer's call, the transit time is unknown and not included.
 */
export type OnSignals = (signals: readonly ServerSignal[], from: GatewayIdentity) => void;
/** Receives a peer's loads, with ages as for {@link OnSignals}. */
export type OnLoads = (loads: readonly ServerLoad[], from: GatewayIdentity) => void;

/** A gateway's membership in its fleet. */
export interface FleetMembership {
    /** Opens the peer port and starts reading the store; fails with `internal` if the port can't be opened. */
    start(): Promise<Either<Failure, void>>;
    /** @returns the configuration for new work; `undefined` until one is known */
    current(): ConfigurationRevision | undefined;
    /**
     * Must be called in the same turn of the event loop in which work is sent; if `false`, the work is to be rejected
     * with `notFresh`.
     */
    mayTakeNewWork(): boolean;
    /** Adds a callback for each newer configuration; it runs before the new revision is reported to other processes. */
    onConfiguration(callback: (configuration: ConfigurationRevision) => void): void;
    /** Sends signals to all peers immediately. */
    publishSignals(signals: readonly ServerSignal[]): void;
    /** Replaces the loads that are sent with heartbeats as the traffic budget allows. */
    publishLoads(loads: readonly ServerLoad[]): void;
    onSignals(callback: OnSignals): void;
    onLoads(callback: OnLoads): void;
    /** Sets the handler that returns this gateway's observations of the backend servers to the admin process. */
    setObservationHandler(handler: ObserveServers): void;
    /** Sets the handler for peers' cold start heartbeats; until then their calls fail. */
    setColdStartHandler(handler: (heartbeat: ColdStartHeartbeat) => ColdStartHeartbeat): void;
    /** Sends a cold start heartbeat to all other gateways of the roster. @returns one promise for each of them */
    exchangeColdStart(heartbeat: ColdStartHeartbeat): readonly Promise<Either<Failure, ColdStartHeartbeat>>[];
    /** @returns the roster that this gateway holds; `undefined` until it holds one */
    roster(): Roster | undefined;
    status(): FleetStatus | undefined;
    /** Begins the planned stop: accepts no new work, and reports this to peers. */
    beginStop(): void;
    /** Ends the registration and closes the peer port. */
    stop(): Promise<void>;
}
