import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import { type RolloutScenario } from "./rolloutScenario.js";

export const service = "tables";
export const oldVersion = "v1";
export const newVersion = "v2";
/** Usual execution time of a request, in milliseconds. */
export const workMs = 150;

const serversPerVersion = 12;
const slots = 4;
const coldMs = 2_000;
/** Time from the order until a late fault starts. */
const lateFaultDelayMs = 3_000;
/** Share of bad responses of both versions during a shared fault, and its period as shares of the allowed time. */
const sharedFaultBadShare = 0.3;
const sharedFaultStartShare = 0.2;
const sharedFaultEndShare = 0.6;

/** The servers of both versions, with the number of requests running on each. */
export class VersionedServers {
    readonly all: readonly RegisteredServer[];
    readonly #scenario: RolloutScenario;
    readonly #random: RandomSource;
    readonly #running = new Map<string, number>();

    constructor(scenario: RolloutScenario, random: RandomSource) {
        this.#scenario = scenario;
        this.#random = random;
        this.all = Array.from({ length: serversPerVersion }, (_, i) => [
            createServer(`old-${i}`, oldVersion, 0),
            createServer(`new-${i}`, newVersion, coldMs),
        ]).flat();
    }

    /** @returns whether a server is neither cold nor full */
    hasCapacity({ id, version }: RegisteredServer, sinceOrderMs: number): boolean {
        const isCold = version === newVersion && sinceOrderMs < coldMs;
        return !isCold && (this.#running.get(id) ?? 0) < slots;
    }

    /** Counts a request that starts on a server. @returns whether its response will be bad */
    begin(server: RegisteredServer, route: string, sinceOrderMs: number): boolean {
        return this.#isBad(server, route, this.#change(server.id, 1), sinceOrderMs);
    }

    /** Counts a request that has ended on a server. */
    end({ id }: RegisteredServer): void {
        this.#change(id, -1);
    }

    /** @returns number of requests running on the servers of a version */
    countRunning(version: string): number {
        return this.all
            .filter(server => server.version === version)
            .reduce((sum, { id }) => sum + (this.#running.get(id) ?? 0), 0);
    }

    #isBad({ version }: RegisteredServer, route: string, running: number, sinceOrderMs: number): boolean {
        const { badness, badShare, baselineBadShare, trouble, allowedMs } = this.#scenario;
        const duringSharedFault = trouble === "sharedFaults" && sinceOrderMs > allowedMs * sharedFaultStartShare
            && sinceOrderMs < allowedMs * sharedFaultEndShare;
        if (this.#random.next() < (duringSharedFault ? sharedFaultBadShare : baselineBadShare)) {
            return true;
        }
        if (version !== newVersion || this.#random.next() >= badShare) {
            return false;
        }
        switch (badness) {
            case "none":
                return false;
            case "oneRoute":
                return route === "rare";
            case "underLoad":
                return running >= slots / 2;
            case "late":
                return sinceOrderMs > lateFaultDelayMs;
            default:
                return true;
        }
    }

    #change(id: string, by: number): number {
        const running = (this.#running.get(id) ?? 0) + by;
        this.#running.set(id, running);
        return running;
    }
}

function createServer(id: string, version: string, coldRemainingMs: number): RegisteredServer {
    return {
        id,
        service,
        version,
        address: { host: "10.0.0.1", port: 80 },
        availabilityZone: "north",
        slots,
        state: "ready",
        coldRemainingMs,
        startedAtEpochMs: 1,
    };
}
