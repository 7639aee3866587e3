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

/** What a gateway needs to take part in its fleet. */
export interface FleetMembershipOptions {
    readonly store: KeyValueStore;
    /** Tells which hosts are gone for good; without it only an operator can say so. */
    readonly hosts?: HostList | undefined;
    readonly name: string;
    /** New with every start of the process. */
    readonly incarnation?: string | undefined;
    readonly availabilityZone: string;
    /** Where the peer port listens; port 0 for any free one. */
    readonly listen: { readonly host: string; readonly port: number; };
    /** Peer addresses for a start without the store. */
    readonly seeds: readonly string[];
    readonly fleetKey: string;
    readonly timings?: FleetTimings | undefined;
    /** For tests: in place of the process's clock, the peer port and the calls to peers. */
    readonly clock?: Clock | undefined;
    readonly listener?: PeerListener | undefined;
    readonly caller?: PeerCaller | undefined;
}

/** Gets a peer's signals, with their ages as of now at least. */
export type OnSignals = (signals: readonly ServerSignal[], from: GatewayIdentity) => void;
/** Gets a peer's loads, with their ages as of now at least. */
export type OnLoads = (loads: readonly ServerLoad[], from: GatewayIdentity) => void;

/** A gateway's part in its fleet. */
export interface FleetMembership {
    /** Opens the peer port and begins to read the store; fails with `internal` where the port can't be opened. */
    start(): Promise<Either<Failure, void>>;
    /** @returns the configuration that new work follows; `undefined` until one is known */
    current(): ConfigurationRevision | undefined;
    /** To be asked in the same turn as work is sent; `false` means to refuse it with `notFresh`. */
    mayTakeNewWork(): boolean;
    /** Calls back with each newer configuration, before anybody is told that it is held. */
    onConfiguration(callback: (configuration: ConfigurationRevision) => void): void;
    /** Passes signals on to every peer at once. */
    publishSignals(signals: readonly ServerSignal[]): void;
    /** Replaces the loads that heartbeats carry as the budget allows. */
    publishLoads(loads: readonly ServerLoad[]): void;
    onSignals(callback: OnSignals): void;
    onLoads(callback: OnLoads): void;
    /** Sets who says what this gateway knows of the backend servers when an operators' server asks. */
    setObservationHandler(observe: ObserveServers): void;
    /** Sets who answers peers' words on cold start; until then their calls fail. */
    setColdStartHandler(answer: (word: ColdStartHeartbeat) => ColdStartHeartbeat): void;
    /** Sends a word on cold start to every other gateway of the roster. @returns one promise for each */
    exchangeColdStart(word: ColdStartHeartbeat): readonly Promise<Either<Failure, ColdStartHeartbeat>>[];
    /** @returns the roster that this gateway knows; `undefined` until it knows one */
    roster(): Roster | undefined;
    status(): FleetStatus | undefined;
    /** The planned stop has begun: takes no new work, and says so to peers. */
    beginStop(): void;
    /** Ends the registration and closes the peer port. */
    stop(): Promise<void>;
}
