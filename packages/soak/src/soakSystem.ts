import {
    type FleetConfiguration,
    type RegisteredServer,
    type RolloutOrder,
    type RolloutStage,
} from "@galenaglade/fleet-state";
import { type Garbling } from "./garbledResponses.js";
import { type CallerCredentials } from "./requestGenerator.js";

/** A program that the soak test starts. */
export interface SoakProgram {
    /** Path of a TypeScript or JavaScript file. */
    readonly script: string;
    readonly args: readonly string[];
    /** Command line flags of Node. */
    readonly nodeFlags: readonly string[];
    readonly env: Readonly<Record<string, string>>;
}

/** A write of one key of the store. */
export interface StoreWrite {
    readonly key: string;
    readonly value: string;
}

/** Options of a fake backend server. */
export interface SoakServerOptions {
    readonly id: string;
    readonly service: string;
    readonly availabilityZone: string;
    readonly historyPath: string;
    readonly seed: number;
}

/** The metadata in the headers of a response. */
export interface SoakResponseMetadata {
    readonly requestId: string | undefined;
    /** Whether it carries a backend server's signature of the body. */
    readonly signed: boolean;
    /** Whether its server advertises a rate limit. */
    readonly hasLimit: boolean;
    /** Whether its server announces that it is leaving. */
    readonly leaving: boolean;
}

/** The system under test: its programs, its fakes, and its encoding of requests and store entries. */
export abstract class SoakSystem {
    /** Path of the balancer's readiness probe. */
    abstract readonly readinessPath: string;
    /** @returns the edge process, which is the program under test */
    abstract resolveEdgeProgram(settingsPath: string): SoakProgram;
    /** A fake store that prints its address in its ready line and accepts a {@link StoreCommand} on `/control`. */
    abstract readonly storeProgram: SoakProgram;
    /** @returns a fake backend server that prints its address in its ready line and accepts its faults on `/control` */
    abstract resolveServerProgram(order: SoakServerOptions): SoakProgram;
    abstract renderConfiguration(configuration: FleetConfiguration): StoreWrite;
    abstract renderServer(server: RegisteredServer): StoreWrite;
    abstract renderRollout(order: RolloutOrder): StoreWrite;
    /** @returns the stage of a service's rollout in the store, or `undefined` if there is none */
    abstract readRolloutStage(storePort: number, service: string): Promise<RolloutStage | undefined>;
    abstract zoneOutKey(availabilityZone: string): string;
    /**
     * @param patienceMs - how long the caller waits for a response, in milliseconds
     * @returns the headers of a caller's request
     */
    abstract renderRequestHeaders(
        requestId: string,
        patienceMs: number,
        sign?: CallerCredentials,
    ): Readonly<Record<string, string>>;
    abstract parseResponseHeaders(
        headers: Readonly<Record<string, string | readonly string[] | undefined>>,
    ): SoakResponseMetadata;
}

/** A command to the fake store: writes of the operator and of backend servers, and faults. */
export interface StoreCommand {
    readonly puts?: readonly StoreWrite[] | undefined;
    readonly deletes?: readonly string[] | undefined;
    /** Compacts the history: a watch from an older revision fails. */
    readonly compact?: boolean | undefined;
    readonly faults?: StoreFaults | undefined;
    /**
     * Age of the snapshot from which the store is restored, in milliseconds; the restore increments its term. Later
     * writes of operators and servers are repeated within {@link maxRewriteDelayMs}, those of gateways are lost.
     */
    readonly restoreMs?: number | undefined;
}

/** Time in which operators and servers repeat the writes that a restored store has lost, in milliseconds. */
export const maxRewriteDelayMs = 1_500;

/** Faults of the fake store; each command that sets them replaces all of them. */
export interface StoreFaults {
    readonly refuses: boolean;
    readonly hangs: boolean;
    readonly slowMs: number;
    /** Writes take effect, but their connections close without a response. */
    readonly losesAnswers: boolean;
}

/** Faults of a fake backend server; each command replaces all of them. */
export interface ServerFaults {
    /** Factor of the processing time; reported in responses to load probes. */
    readonly slowdown: number;
    /** Fails half of the requests after running them, while its health check passes. */
    readonly fails: boolean;
    /** Rejects half of the requests. */
    readonly sheds: boolean;
    /** Truncates, duplicates or drops some responses, or omits their signature. */
    readonly spoils: boolean;
    /** How it garbles a share of its responses; `undefined` if it doesn't. */
    readonly garbling: Garbling | undefined;
    /** Fails its health check because it is leaving. */
    readonly leaves: boolean;
    /** Advertised rate limit for all gateways together, in requests per second; `undefined` for none. */
    readonly limitPerSecond: number | undefined;
    /** Rejects all requests and asks for a back-off of so many seconds; `undefined` for none. */
    readonly restSeconds: number | undefined;
    /** Announces in its responses, and nowhere else, that it is leaving. */
    readonly saysLeaving: boolean;
    /** Becomes cold now, for so many milliseconds; 0 changes nothing. */
    readonly coldMs: number;
}

/** A backend server without faults. */
export const noServerFaults: ServerFaults = Object.freeze({
    slowdown: 1,
    fails: false,
    sheds: false,
    spoils: false,
    garbling: undefined,
    leaves: false,
    limitPerSecond: undefined,
    restSeconds: undefined,
    saysLeaving: false,
    coldMs: 0,
});

/** A store without faults. */
export const noStoreFaults: StoreFaults = Object.freeze({
    refuses: false,
    hangs: false,
    slowMs: 0,
    losesAnswers: false,
});
