import { type OrderAge } from "./orderAge.js";

/** Number of judged sends, and how many of them count against their version. */
export interface AnswerCounts {
    readonly sends: number;
    readonly bad: number;
}

/** Counts of both versions on one route. */
export interface RouteEvidence {
    readonly route: string;
    /** Counts of the old version. */
    readonly stable: AnswerCounts;
    /** Counts of the new version, by server. */
    readonly trial: readonly ServerEvidence[];
}

/** Counts of one server of the new version. */
export interface ServerEvidence extends AnswerCounts {
    readonly server: string;
}

/** Everything that one incarnation of a gateway has observed of a rollout so far. */
export interface EvidenceReport {
    readonly gateway: string;
    /** Identifies the incarnation of the gateway. */
    readonly life: string;
    readonly service: string;
    readonly version: string;
    /** Whether the gateway sends to the new version only and none of its requests is in flight on the old one. */
    readonly settled: boolean;
    readonly routes: readonly RouteEvidence[];
    /**
     * Bounds of the order's age; `undefined` while the gateway does not reach the store, which may have a different
     * order by now.
     */
    readonly orderAge?: OrderAge | undefined;
}

/** @returns the sum of the counts over all servers of the new version */
export function sumTrialCounts(trial: readonly ServerEvidence[]): AnswerCounts {
    let sends = 0;
    let bad = 0;
    for (const server of trial) {
        sends += server.sends;
        bad += server.bad;
    }
    return { sends, bad };
}

interface MutableCounts {
    sends: number;
    bad: number;
}

interface MutableRoute {
    readonly stable: MutableCounts;
    readonly trial: Map<string, MutableCounts>;
}

/** Accumulates counts by route, version and server. */
export class EvidenceTally {
    readonly #routes = new Map<string, MutableRoute>();

    /** @param server - id of a server of the new version; `undefined` for the old version */
    add(route: string, server: string | undefined, { sends, bad }: AnswerCounts): void {
        const counts = this.#countsOf(route, server);
        counts.sends += sends;
        counts.bad += bad;
    }

    addAll(routes: readonly RouteEvidence[]): void {
        for (const { route, stable, trial } of routes) {
            this.add(route, undefined, stable);
            for (const serverCounts of trial) {
                this.add(route, serverCounts.server, serverCounts);
            }
        }
    }

    /** @returns the accumulated counts */
    get routes(): readonly RouteEvidence[] {
        return [...this.#routes].map(([route, { stable, trial }]) => ({
            route,
            stable: { ...stable },
            trial: [...trial].map(([server, counts]) => ({ server, ...counts })),
        }));
    }

    #countsOf(route: string, server: string | undefined): MutableCounts {
        const routeCounts = this.#routes.get(route) ?? {
            stable: { sends: 0, bad: 0 },
            trial: new Map<string, MutableCounts>(),
        };
        this.#routes.set(route, routeCounts);
        if (server === undefined) {
            return routeCounts.stable;
        }
        const counts = routeCounts.trial.get(server) ?? { sends: 0, bad: 0 };
        routeCounts.trial.set(server, counts);
        return counts;
    }
}

/**
 * The latest reports of all gateways on one rollout. Reports are cumulative, so lost and duplicate reports do no
 * harm, and a coordinator that takes over gets everything again.
 */
export class EvidencePool {
    readonly #reports = new Map<string, EvidenceReport>();

    add(report: EvidenceReport): void {
        this.#reports.set(`${report.gateway}\n${report.life}`, report);
    }

    /** @returns the counts of all gateways together */
    get totals(): readonly RouteEvidence[] {
        const tally = new EvidenceTally();
        for (const { routes } of this.#reports.values()) {
            tally.addAll(routes);
        }
        return tally.routes;
    }

    /** @returns the gateways that have settled according to their latest reports */
    get settled(): ReadonlySet<string> {
        const settled = new Set<string>();
        for (const { gateway, settled: isSettled } of this.#reports.values()) {
            if (isSettled) {
                settled.add(gateway);
            }
            else {
                settled.delete(gateway);
            }
        }
        return settled;
    }
}
