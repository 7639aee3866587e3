import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import { type RolloutScenario } from "./rolloutScenario.js";

export const service = "tables";
export const oldVersion = "v1";
export const newVersion = "v2";
/** Usual work of one request, in milliseconds. */
export const workMs = 150;

const serversPerVersion = 12;
const slots = 4;
const coldMs = 2_000;
/** When a fault that comes late begins, since the order. */
const lateMs = 3_000;
/** Share of everybody's answers that are bad in a trouble that both versions share, and when it lasts. */
const sharedBadShare = 0.3;
const sharedFromShare = 0.2;
const sharedToShare = 0.6;

/** The servers of both versions, with what runs on each. */
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

    /** A cold server is left alone, and a full one too. */
    hasCapacity({ id, version }: RegisteredServer, sinceOrderMs: number): boolean {
        const isCold = version === newVersion && sinceOrderMs < coldMs;
        return !isCold && (this.#running.get(id) ?? 0) < slots;
    }

    /** A request begins on a server. @returns whether its answer will be bad */
    begin(server: RegisteredServer, route: string, sinceOrderMs: number): boolean {
        return this.#isBad(server, route, this.#change(server.id, 1), sinceOrderMs);
    }

    /** A request has ended on a server. */
    end({ id }: RegisteredServer): void {
        this.#change(id, -1);
    }

    /** @returns how many requests run on a version's servers */
    countRunning(version: string): number {
        return this.all
            .filter(server => server.version === version)
            .reduce((sum, { id }) => sum + (this.#running.get(id) ?? 0), 0);
    }

    #isBad({ version }: RegisteredServer, route: string, running: number, sinceOrderMs: number): boolean {
        const { badness, badShare, baselineBadShare, trouble, allowedMs } = this.#scenario;
        const inTrouble = trouble === "sharedFaults" && sinceOrderMs > allowedMs * sharedFromShare
            && sinceOrderMs < allowedMs * sharedToShare;
        if (this.#random.next() < (inTrouble ? sharedBadShare : baselineBadShare)) {
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
                return sinceOrderMs > lateMs;
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
