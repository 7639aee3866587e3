import { type CrashReport, type StoredCrashReport } from "@galenaglade/fleet-state";
import { EventQueue } from "@galenaglade/replay";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { CrashLedger, quarantineStrikeThreshold } from "../../index.js";

/** Faults of the servers besides crashing requests. */
export type ServerTrouble = "none" | "zoneEnds" | "release" | "crashes";

export interface CrashSimulationInput {
    readonly seed: number;
    readonly gateways: number;
    readonly trouble: ServerTrouble;
    /** Rate of crashing requests, from the start of the run. */
    readonly deadlyPerSecond: number;
}

/** Counts of a run. */
export interface CrashSimulationResult {
    /** Harmless requests, and those of them that the quarantine rejected. */
    readonly harmless: number;
    readonly wronglyRefused: number;
    /**
     * Servers that crashed under the crashing request, and sends of it after all gateways must have had the reports.
     */
    readonly crashed: number;
    readonly lateArrivals: number;
    /** Contents other than the crashing one that were still quarantined at the end. */
    readonly leftQuarantined: number;
}

interface Server {
    readonly number: number;
    readonly running: Set<() => void>;
    life: number;
    isUp: boolean;
}

const servers = 24;
const popularContents = 4;
const popularShare = 0.5;
const innocentPerSecond = 150;
const runMs = 25_000;
const troubleAtMs = 3_000;
const settleMs = 3_000;
const deadly = "deadly";
const mostRuns = 2;

/** Simulates gateways, servers and callers in virtual time, with the real ledgers. */
export class CrashSimulation {
    readonly #queue = new EventQueue();
    readonly #random: RandomSource;
    readonly #input: CrashSimulationInput;
    readonly #ledgers: readonly CrashLedger[];
    readonly #names: readonly string[];
    readonly #stored = new Map<string, StoredCrashReport>();
    readonly #servers: readonly Server[];
    /** Gateways with a pending delivery of changed reports. */
    readonly #hearing = new Set<CrashLedger>();
    readonly #deadlyEndsMs: number[] = [];
    #innocent = 0;
    #wronglyRefused = 0;
    #lateArrivals = 0;

    constructor(input: CrashSimulationInput) {
        this.#input = input;
        this.#random = createRandomSource(input.seed);
        this.#names = Array.from({ length: input.gateways }, (_, i) => `gateway-${i}`);
        this.#ledgers = this.#names.map(name => new CrashLedger(name));
        this.#servers = Array.from({ length: servers }, (_, number) => ({
            number,
            running: new Set(),
            life: 0,
            isUp: true,
        }));
    }

    run(): CrashSimulationResult {
        this.#everySecond(innocentPerSecond, () => this.#callInnocent());
        this.#everySecond(this.#input.deadlyPerSecond, () => this.#send(deadly, this.#drawGateway(), 0));
        this.#queue.schedule(troubleAtMs, () => this.#befall());
        this.#queue.runUntil(runMs, 10_000_000);
        const [ledger] = this.#ledgers;
        const isDeadlyQuarantined = ledger !== undefined && this.#stateOf(ledger, deadly) === "quarantined";
        return {
            harmless: this.#innocent,
            wronglyRefused: this.#wronglyRefused,
            crashed: this.#deadlyEndsMs.length,
            lateArrivals: this.#lateArrivals,
            leftQuarantined: (ledger?.quarantinedCount ?? 0) - (isDeadlyQuarantined ? 1 : 0),
        };
    }

    #everySecond(times: number, run: () => void): void {
        if (times === 0) {
            return;
        }
        this.#queue.schedule(this.#random.next() * 2_000 / times, () => {
            run();
            this.#everySecond(times, run);
        });
    }

    #callInnocent(): void {
        this.#innocent++;
        const isPopular = this.#random.next() < popularShare;
        const content = isPopular ? `popular-${this.#random.below(popularContents)}` : `rare-${this.#innocent}`;
        this.#send(content, this.#drawGateway(), 0);
    }

    /** Sends a request to a server that is up, and resends it after a crash while that is allowed. */
    #send(content: string, ledger: CrashLedger, runs: number): void {
        const { state, strikes } = ledger.checkContent(content, { gateways: this.#names, epochMs: this.#queue.nowMs });
        if (state === "quarantined") {
            this.#wronglyRefused += content === deadly ? 0 : 1;
            return;
        }
        const up = this.#servers.filter(({ isUp }) => isUp);
        const server = up[this.#random.below(up.length)];
        if (server === undefined || runs >= mostRuns || (runs > 0 && strikes >= 2)) {
            return;
        }
        const mark = ledger.version();
        const endTrial = state === "trial" ? ledger.beginTrial(content) : undefined;
        const life = server.life;
        const onEnded = (): void => this.#onLost(content, ledger, { server, life, mark, runs, endTrial });
        server.running.add(onEnded);
        if (content === deadly) {
            this.#onDeadlyArrival();
            this.#queue.schedule(20 + this.#random.next() * 100, () => this.#endDeadly(server, life));
            return;
        }
        this.#queue.schedule(40 + this.#random.next() * 200, () => {
            if (server.running.delete(onEnded)) {
                endTrial?.();
                const mustTell = ledger.onServed(content, mark, this.#queue.nowMs);
                this.#tellIf(mustTell, ledger);
            }
        });
    }

    #onDeadlyArrival(): void {
        const knownAtMs = this.#deadlyEndsMs[quarantineStrikeThreshold - 1];
        if (knownAtMs !== undefined && this.#queue.nowMs > knownAtMs + settleMs) {
            this.#lateArrivals++;
        }
    }

    #endDeadly(server: Server, life: number): void {
        if (server.isUp && server.life === life) {
            this.#deadlyEndsMs.push(this.#queue.nowMs);
            this.#end(server);
        }
    }

    #end(server: Server): void {
        server.isUp = false;
        const lost = [...server.running];
        server.running.clear();
        for (const onEnded of lost) {
            onEnded();
        }
        this.#queue.schedule(2_000 + this.#random.next() * 2_000, () => {
            server.life++;
            server.isUp = true;
        });
    }

    #onLost(
        content: string,
        ledger: CrashLedger,
        { server, life, mark, runs, endTrial }: {
            readonly server: Server;
            readonly life: number;
            readonly mark: number;
            readonly runs: number;
            readonly endTrial: (() => void) | undefined;
        },
    ): void {
        const epochMs = this.#queue.nowMs;
        const incarnation = `${server.number}@${life}`;
        this.#tellIf(
            ledger.onCrash({
                contentId: content,
                incarnation,
                ledgerVersion: mark,
                epochMs,
                trial: endTrial !== undefined,
            }),
            ledger,
        );
        endTrial?.();
        if (endTrial !== undefined) {
            return;
        }
        this.#queue.schedule(2, () => this.#send(content, ledger, runs + 1));
    }

    /** Writes a report to the store at once, from where it reaches each gateway after a delay of its own. */
    #tellIf(mustTell: boolean, teller: CrashLedger): void {
        if (!mustTell) {
            return;
        }
        const report: CrashReport = teller.report();
        this.#stored.set(`gateway-${this.#ledgers.indexOf(teller)}`, { report, revision: 1 });
        for (const ledger of this.#ledgers) {
            if (this.#hearing.has(ledger)) {
                continue;
            }
            this.#hearing.add(ledger);
            const hear = (): void => {
                this.#hearing.delete(ledger);
                this.#tellIf(ledger.onReports(this.#reportsOfOthers(ledger), this.#queue.nowMs), ledger);
            };
            this.#queue.schedule(100 + this.#random.next() * 1_000, hear);
        }
    }

    #reportsOfOthers(ledger: CrashLedger): ReadonlyMap<string, StoredCrashReport> {
        const own = `gateway-${this.#ledgers.indexOf(ledger)}`;
        return new Map([...this.#stored].filter(([name]) => name !== own));
    }

    #befall(): void {
        const third = this.#servers.filter(({ number }) => number % 3 === 0);
        switch (this.#input.trouble) {
            case "none":
                return;
            case "zoneEnds":
                third.forEach(server => this.#end(server));
                return;
            case "release":
                for (const [i, server] of this.#servers.entries()) {
                    this.#queue.schedule(i * 250, () => this.#end(server));
                }
                return;
            case "crashes":
                for (const server of third) {
                    this.#queue.schedule(this.#random.next() * 1_500, () => this.#end(server));
                }
        }
    }

    #drawGateway(): CrashLedger {
        const ledger = this.#ledgers[this.#random.below(this.#ledgers.length)];
        if (ledger === undefined) {
            throw new Error("a simulation needs at least one gateway");
        }
        return ledger;
    }

    #stateOf(ledger: CrashLedger, content: string): string {
        return ledger.checkContent(content, { gateways: this.#names, epochMs: this.#queue.nowMs }).state;
    }
}
