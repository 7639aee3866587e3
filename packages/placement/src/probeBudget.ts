import { type ProbeShare } from "./probeGroups.js";

/** State of the request that probes: newly arrived or in its last search, or waiting and probing repeatedly. */
export type ProbePurpose = "arrival" | "waiting";

/** Input to the choice of the servers that a request may probe. */
export interface ProbeBudgetInput<Server> {
    /** Servers to probe, in order of preference. */
    readonly ordered: readonly Server[];
    readonly purpose: ProbePurpose;
    /** Maximum number of servers to probe in parallel. */
    readonly maxProbes: number;
    /** This gateway's share of a server's probe allowance. */
    readonly shareOf: (server: Server) => ProbeShare;
    readonly nowMs: number;
}

interface SavedProbes {
    readonly probes: number;
    readonly atMs: number;
}

/**
 * Limits the rate of load probes to backend servers. If every gateway has waiting requests that probe repeatedly, the
 * probes alone would keep the servers busy. Each server has one allowance for the whole fleet, of which a gateway has a
 * share. Nothing is granted beyond the share: exceptions for newly arrived requests would be made by all of them at
 * once under overload, which amounts to no limit. A request that may not probe is placed by the cached status of
 * servers.
 */
export class ProbeBudget {
    readonly #saved = new Map<string, SavedProbes>();
    readonly #startedAtMs: number;

    /** @param startedAtMs - start of this process; probes sent before a restart are unknown */
    constructor(startedAtMs: number) {
        this.#startedAtMs = startedAtMs;
    }

    /**
     * Chooses the servers that a request may probe now, and counts the probes. Besides the first saved probe, a waiting
     * request leaves half of the saved probes to newly arrived requests.
     *
     * @param input - the servers in order of preference, and this gateway's share of each allowance
     * @returns the servers to probe, in the same order
     */
    take<Server extends { readonly id: string; }>(input: ProbeBudgetInput<Server>): readonly Server[] {
        const { ordered, purpose, maxProbes, shareOf, nowMs } = input;
        const chosen: Server[] = [];
        for (const server of ordered) {
            if (chosen.length >= maxProbes) {
                break;
            }
            const share = shareOf(server);
            const probes = this.#availableProbes(server.id, share, nowMs);
            const reserved = purpose === "waiting" ? Math.max(0, share.maxSavedProbes - 1) / 2 : 0;
            if (probes - 1 >= reserved) {
                this.#saved.set(server.id, { probes: probes - 1, atMs: nowMs });
                chosen.push(server);
            }
        }
        return chosen;
    }

    /** Drops the entries of servers that are no longer registered. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const id of this.#saved.keys()) {
            if (!serverIds.has(id)) {
                this.#saved.delete(id);
            }
        }
    }

    #availableProbes(id: string, { probesPerMs, maxSavedProbes, initialProbes }: ProbeShare, nowMs: number): number {
        const { probes, atMs } = this.#saved.get(id) ?? { probes: initialProbes, atMs: this.#startedAtMs };
        return Math.min(maxSavedProbes, probes + (nowMs - atMs) * probesPerMs);
    }
}
