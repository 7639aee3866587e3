import {
    type FleetConfiguration,
    type RegisteredServer,
    type RolloutOrder,
    type RolloutStage,
} from "@galenaglade/fleet-state";
import { type CallerCredentials } from "./requestGenerator.js";

/** A program that the soak starts. */
export interface SoakProgram {
    /** Path of a TypeScript or JavaScript file. */
    readonly script: string;
    readonly args: readonly string[];
    /** Flags of node itself. */
    readonly nodeFlags: readonly string[];
    readonly env: Readonly<Record<string, string>>;
}

/** A key of the store with what is written there. */
export interface StoreWrite {
    readonly key: string;
    readonly value: string;
}

/** What a stand-in of a backend server is told. */
export interface SoakServerOptions {
    readonly id: string;
    readonly service: string;
    readonly availabilityZone: string;
    readonly historyPath: string;
    readonly seed: number;
}

/** What an answer's headers say. */
export interface SoakResponseMetadata {
    readonly requestId: string | undefined;
    /** Whether it bears a backend server's proof that the body is its own. */
    readonly signed: boolean;
    /** Whether its server names a limit in it. */
    readonly hasLimit: boolean;
    /** Whether its server says in it that it leaves. */
    readonly leaving: boolean;
}

/** The names that a system uses on the wire, and the stand-ins that speak them. */
export abstract class SoakSystem {
    /** Path on which the balancer asks for readiness. */
    abstract readonly readinessPath: string;
    /** The program under test. */
    abstract resolveEdgeProgram(settingsPath: string): SoakProgram;
    /** A store that says its address in its ready line and takes {@link StoreCommand}s on `/control`. */
    abstract readonly storeProgram: SoakProgram;
    /** A backend server that says its address in its ready line and takes `ServerTrouble`s on `/control`. */
    abstract resolveServerProgram(order: SoakServerOptions): SoakProgram;
    abstract renderConfiguration(configuration: FleetConfiguration): StoreWrite;
    abstract renderServer(server: RegisteredServer): StoreWrite;
    abstract renderRollout(order: RolloutOrder): StoreWrite;
    /** @returns how far a service's roll-out is by the store, or `undefined` where it says nothing */
    abstract readRolloutStage(storePort: number, service: string): Promise<RolloutStage | undefined>;
    abstract zoneOutKey(availabilityZone: string): string;
    /** @returns the headers of a caller's request */
    abstract renderRequestHeaders(
        requestId: string,
        patienceMs: number,
        sign?: CallerCredentials,
    ): Readonly<Record<string, string>>;
    abstract parseResponseHeaders(
        headers: Readonly<Record<string, string | readonly string[] | undefined>>,
    ): SoakResponseMetadata;
}

/** What the stand-in store is told: writes of the operator and of backend servers, and faults. */
export interface StoreCommand {
    readonly puts?: readonly StoreWrite[] | undefined;
    readonly deletes?: readonly string[] | undefined;
    /** Forgets all history: a watch that asks for older changes is told so. */
    readonly compact?: boolean | undefined;
    readonly faults?: StoreFaults | undefined;
    /**
     * The store goes on from what it was so long ago, in milliseconds, and its term rises. What operators and servers wrote since is written
     * again within {@link maxRewriteDelayMs}, what gateways wrote isn't.
     */
    readonly restoreMs?: number | undefined;
}

/** Time in which operators and servers write again what a store lacks that came back from an older copy, in milliseconds. */
export const maxRewriteDelayMs = 1_500;

/** Faults of the stand-in store; each order replaces them all. */
export interface StoreFaults {
    readonly refuses: boolean;
    readonly hangs: boolean;
    readonly slowMs: number;
    /** Writes take effect, and their connections close without an answer. */
    readonly losesAnswers: boolean;
}

/** Faults of a stand-in backend server; each order replaces them all. */
export interface ServerFaults {
    /** How many times longer work takes; told in the answer to a question for load. */
    readonly slowdown: number;
    /** Fails half of the requests after it ran them, and says that it is well. */
    readonly fails: boolean;
    /** Turns half of the requests away. */
    readonly sheds: boolean;
    /** Cuts, doubles or garbles some answers, or loses them. */
    readonly spoils: boolean;
    /** Says that it is leaving. */
    readonly leaves: boolean;
    /** Requests a second that it says it takes from all gateways together; `undefined` where it names no limit. */
    readonly limitPerSecond: number | undefined;
    /** Turns all requests away, and asks for so long a rest; `undefined` where it doesn't. */
    readonly restSeconds: number | undefined;
    /** Says in its answers that it leaves, and nowhere else. */
    readonly saysLeaving: boolean;
    /** Turns cold now, for that long. */
    readonly coldMs: number;
}

export const noServerFaults: ServerFaults = Object.freeze({
    slowdown: 1,
    fails: false,
    sheds: false,
    spoils: false,
    leaves: false,
    limitPerSecond: undefined,
    restSeconds: undefined,
    saysLeaving: false,
    coldMs: 0,
});

export const noStoreFaults: StoreFaults = Object.freeze({
    refuses: false,
    hangs: false,
    slowMs: 0,
    losesAnswers: false,
});
