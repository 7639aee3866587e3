import { type OrderAge } from "./orderAge.js";

/** Answers seen, and how many of them speak against their version. */
export interface AnswerCounts {
    readonly sends: number;
    readonly bad: number;
}

/** What is known of both versions on one route. */
export interface RouteEvidence {
    readonly route: string;
    /** The old version's. */
    readonly stable: AnswerCounts;
    /** The new version's, by server. */
    readonly trial: readonly ServerEvidence[];
}

/** Answers of one server of the new version. */
export interface ServerEvidence extends AnswerCounts {
    readonly server: string;
}

/** All that one life of one gateway has seen of a roll-out so far. */
export interface EvidenceReport {
    readonly gateway: string;
    /** Differs from life to life of the same gateway. */
    readonly life: string;
    readonly service: string;
    readonly version: string;
    /** Whether it sends to the new version only, and nothing runs for it on the old one any more. */
    readonly settled: boolean;
    readonly routes: readonly RouteEvidence[];
    /** What it knows of the order's age; `undefined` while it doesn't reach the store, whose order may be another one by now. */
    readonly orderAge?: OrderAge | undefined;
}

/** @returns the sum of what servers of the new version answered */
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

/** Adds up answers by route, version and server. */
export class EvidenceTally {
    readonly #routes = new Map<string, MutableRoute>();

    /** @param server - of the new version; `undefined` for one of the old */
    add(route: string, server: string | undefined, { sends, bad }: AnswerCounts): void {
        const counts = this.#countsOf(route, server);
        counts.sends += sends;
        counts.bad += bad;
    }

    addAll(routes: readonly RouteEvidence[]): void {
        for (const { route, stable, trial } of routes) {
            this.add(route, undefined, stable);
            for (const each of trial) {
                this.add(route, each.server, each);
            }
        }
    }

    /** @returns what was added so far */
    get routes(): readonly RouteEvidence[] {
        return [...this.#routes].map(([route, { stable, trial }]) => ({
            route,
            stable: { ...stable },
            trial: [...trial].map(([server, counts]) => ({ server, ...counts })),
        }));
    }

    #countsOf(route: string, server: string | undefined): MutableCounts {
        const known = this.#routes.get(route) ?? {
            stable: { sends: 0, bad: 0 },
            trial: new Map<string, MutableCounts>(),
        };
        this.#routes.set(route, known);
        if (server === undefined) {
            return known.stable;
        }
        const counts = known.trial.get(server) ?? { sends: 0, bad: 0 };
        known.trial.set(server, counts);
        return counts;
    }
}

/**
 * Every gateway's latest report on one roll-out. Reports hold all that a gateway has seen, so one that is lost or comes twice
 * changes nothing, and a coordinator that takes over hears everything again.
 */
export class EvidencePool {
    readonly #reports = new Map<string, EvidenceReport>();

    add(report: EvidenceReport): void {
        this.#reports.set(`${report.gateway}\n${report.life}`, report);
    }

    /** @returns answers of all gateways together */
    get totals(): readonly RouteEvidence[] {
        const tally = new EvidenceTally();
        for (const { routes } of this.#reports.values()) {
            tally.addAll(routes);
        }
        return tally.routes;
    }

    /** @returns the gateways that have settled, by the latest that each of them said */
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
