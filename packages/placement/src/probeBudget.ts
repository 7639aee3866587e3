import { type ProbeShare } from "./probeGroups.js";

/** Who looks for a server: one that has just arrived or looks for the last time, or one that looks again and again. */
export type ProbePurpose = "arrival" | "waiting";

/** What decides whom a request may probe. */
export interface ProbeBudgetInput<Server> {
    /** Those that it would probe, first ones first. */
    readonly ordered: readonly Server[];
    readonly purpose: ProbePurpose;
    /** How many it would probe at once. */
    readonly maxProbes: number;
    /** This gateway's part of a server's allowance. */
    readonly shareOf: (server: Server) => ProbeShare;
    readonly nowMs: number;
}

interface Savings {
    readonly probes: number;
    readonly atMs: number;
}

/**
 * Limits how often backend servers are asked for their load. When every gateway has requests waiting that ask again and
 * again, the probes alone would keep the servers busy. The allowance is a server's own and for the whole fleet, so a
 * gateway has one part of it for each server, and nothing is granted beyond it: exceptions for requests that arrive are
 * made by all of them at once under overload, and then there is no limit. A request without a probe is placed by what
 * others were told.
 */
export class ProbeBudget {
    readonly #saved = new Map<string, Savings>();
    readonly #startedAtMs: number;

    /** @param startedAtMs - when this process began; it doesn't know what it probed in a life before */
    constructor(startedAtMs: number) {
        this.#startedAtMs = startedAtMs;
    }

    /**
     * Chooses whom a request may probe now, and counts the probes. A request that waits leaves half of what is saved beyond
     * the first to those that arrive.
     *
     * @param input - what decides
     * @returns the servers to probe, in their order
     */
    take<Server extends { readonly id: string; }>(input: ProbeBudgetInput<Server>): readonly Server[] {
        const { ordered, purpose, maxProbes, shareOf, nowMs } = input;
        const chosen: Server[] = [];
        for (const server of ordered) {
            if (chosen.length >= maxProbes) {
                break;
            }
            const share = shareOf(server);
            const probes = this.#probesOf(server.id, share, nowMs);
            const kept = purpose === "waiting" ? Math.max(0, share.maxSavedProbes - 1) / 2 : 0;
            if (probes - 1 >= kept) {
                this.#saved.set(server.id, { probes: probes - 1, atMs: nowMs });
                chosen.push(server);
            }
        }
        return chosen;
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const id of this.#saved.keys()) {
            if (!serverIds.has(id)) {
                this.#saved.delete(id);
            }
        }
    }

    #probesOf(id: string, { probesPerMs, maxSavedProbes, initialProbes }: ProbeShare, nowMs: number): number {
        const { probes, atMs } = this.#saved.get(id) ?? { probes: initialProbes, atMs: this.#startedAtMs };
        return Math.min(maxSavedProbes, probes + (nowMs - atMs) * probesPerMs);
    }
}
