import { type CrashReport, type StoredCrashReport } from "@galenaglade/fleet-state";
import { EventQueue } from "@galenaglade/replay";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { CrashLedger, quarantineStrikeThreshold } from "../../index.js";

/** Faults of the servers besides crashing requests. */
export type ServerFaults = "none" | "zoneEnds" | "release" | "crashes";

export interface CrashSimulationInput {
    readonly seed: number;
    readonly gateways: number;
    readonly faults: ServerFaults;
    /** Rate of crashing requests, from the start of the run. */
    readonly crashingPerSecond: number;
}

/** Counts of a run. */
export interface CrashSimulationResult {
    /** Harmless requests, and those of them that the quarantine rejected. */
    readonly harmless: number;
    readonly wronglyRejected: number;
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
    starts: number;
    isUp: boolean;
}

const servers = 24;
const popularContents = 4;
const popularShare = 0.5;
const harmlessPerSecond = 150;
const runMs = 25_000;
const faultAtMs = 3_000;
const settleMs = 3_000;
const crashingContent = "deadly";
const maxRuns = 2;

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
    readonly #pendingDeliveries = new Set<CrashLedger>();
    readonly #crashTimesMs: number[] = [];
    #harmless = 0;
    #wronglyRejected = 0;
    #lateArrivals = 0;

    constructor(input: CrashSimulationInput) {
        this.#input = input;
        this.#random = createRandomSource(input.seed);
        this.#names = Array.from({ length: input.gateways }, (_, i) => `gateway-${i}`);
        this.#ledgers = this.#names.map(name => new CrashLedger(name));
        this.#servers = Array.from({ length: servers }, (_, number) => ({
            number,
            running: new Set(),
            starts: 0,
            isUp: true,
        }));
    }

    run(): CrashSimulationResult {
        this.#repeat(harmlessPerSecond, () => this.#sendHarmless());
        this.#repeat(this.#input.crashingPerSecond, () => this.#send(crashingContent, this.#pickGateway(), 0));
        this.#queue.schedule(faultAtMs, () => this.#injectFaults());
        this.#queue.runUntil(runMs, 10_000_000);
        const [ledger] = this.#ledgers;
        const isCrashingQuarantined = ledger !== undefined && this.#stateOf(ledger, crashingContent) === "quarantined";
        return {
            harmless: this.#harmless,
            wronglyRejected: this.#wronglyRejected,
            crashed: this.#crashTimesMs.length,
            lateArrivals: this.#lateArrivals,
            leftQuarantined: (ledger?.quarantinedCount ?? 0) - (isCrashingQuarantined ? 1 : 0),
        };
    }

    #repeat(perSecond: number, run: () => void): void {
        if (perSecond === 0) {
            return;
        }
        this.#queue.schedule(this.#random.next() * 2_000 / perSecond, () => {
            run();
            this.#repeat(perSecond, run);
        });
    }

    #sendHarmless(): void {
        this.#harmless++;
        const isPopular = this.#random.next() < popularShare;
        const content = isPopular ? `popular-${this.#random.nextInt(popularContents)}` : `rare-${this.#harmless}`;
        this.#send(content, this.#pickGateway(), 0);
    }

    /** Sends a request to a server that is up, and resends it after a crash while that is allowed. */
    #send(content: string, ledger: CrashLedger, runs: number): void {
        const { state, strikes } = ledger.checkContent(content, { gateways: this.#names, epochMs: this.#queue.nowMs });
        if (state === "quarantined") {
            this.#wronglyRejected += content === crashingContent ? 0 : 1;
            return;
        }
        const up = this.#servers.filter(({ isUp }) => isUp);
        const server = up[this.#random.nextInt(up.length)];
        if (server === undefined || runs >= maxRuns || (runs > 0 && strikes >= 2)) {
            return;
        }
        const ledgerVersion = ledger.version();
        const endTrial = state === "trial" ? ledger.beginTrial(content) : undefined;
        const starts = server.starts;
        const onCrash = (): void =>
            this.#onServerCrash(content, ledger, { server, starts, ledgerVersion, runs, endTrial });
        server.running.add(onCrash);
        if (content === crashingContent) {
            this.#onCrashingArrival();
            this.#queue.schedule(20 + this.#random.next() * 100, () => this.#crashUnderRequest(server, starts));
            return;
        }
        this.#queue.schedule(40 + this.#random.next() * 200, () => {
            if (server.running.delete(onCrash)) {
                endTrial?.();
                const mustPublish = ledger.onServed(content, ledgerVersion, this.#queue.nowMs);
                this.#publishIf(mustPublish, ledger);
            }
        });
    }

    #onCrashingArrival(): void {
        const thirdCrashAtMs = this.#crashTimesMs[quarantineStrikeThreshold - 1];
        if (thirdCrashAtMs !== undefined && this.#queue.nowMs > thirdCrashAtMs + settleMs) {
            this.#lateArrivals++;
        }
    }

    #crashUnderRequest(server: Server, starts: number): void {
        if (server.isUp && server.starts === starts) {
            this.#crashTimesMs.push(this.#queue.nowMs);
            this.#crash(server);
        }
    }

    #crash(server: Server): void {
        server.isUp = false;
        const callbacks = [...server.running];
        server.running.clear();
        for (const onCrash of callbacks) {
            onCrash();
        }
        this.#queue.schedule(2_000 + this.#random.next() * 2_000, () => {
            server.starts++;
            server.isUp = true;
        });
    }

    #onServerCrash(
        content: string,
        ledger: CrashLedger,
        { server, starts, ledgerVersion, runs, endTrial }: {
            readonly server: Server;
            readonly starts: number;
            readonly ledgerVersion: number;
            readonly runs: number;
            readonly endTrial: (() => void) | undefined;
        },
    ): void {
        const epochMs = this.#queue.nowMs;
        const incarnation = `${server.number}@${starts}`;
        this.#publishIf(
            ledger.onCrash({
                contentId: content,
                incarnation,
                ledgerVersion,
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
    #publishIf(mustPublish: boolean, publisher: CrashLedger): void {
        if (!mustPublish) {
            return;
        }
        const report: CrashReport = publisher.report();
        this.#stored.set(`gateway-${this.#ledgers.indexOf(publisher)}`, { report, revision: 1 });
        for (const ledger of this.#ledgers) {
            if (this.#pendingDeliveries.has(ledger)) {
                continue;
            }
            this.#pendingDeliveries.add(ledger);
            const deliver = (): void => {
                this.#pendingDeliveries.delete(ledger);
                this.#publishIf(ledger.onReports(this.#reportsOfOthers(ledger), this.#queue.nowMs), ledger);
            };
            this.#queue.schedule(100 + this.#random.next() * 1_000, deliver);
        }
    }

    #reportsOfOthers(ledger: CrashLedger): ReadonlyMap<string, StoredCrashReport> {
        const own = `gateway-${this.#ledgers.indexOf(ledger)}`;
        return new Map([...this.#stored].filter(([name]) => name !== own));
    }

    #injectFaults(): void {
        const affected = this.#servers.filter(({ number }) => number % 3 === 0);
        switch (this.#input.faults) {
            case "none":
                return;
            case "zoneEnds":
                affected.forEach(server => this.#crash(server));
                return;
            case "release":
                for (const [i, server] of this.#servers.entries()) {
                    this.#queue.schedule(i * 250, () => this.#crash(server));
                }
                return;
            case "crashes":
                for (const server of affected) {
                    this.#queue.schedule(this.#random.next() * 1_500, () => this.#crash(server));
                }
        }
    }

    #pickGateway(): CrashLedger {
        const ledger = this.#ledgers[this.#random.nextInt(this.#ledgers.length)];
        if (ledger === undefined) {
            throw new Error("a simulation needs at least one gateway");
        }
        return ledger;
    }

    #stateOf(ledger: CrashLedger, content: string): string {
        return ledger.checkContent(content, { gateways: this.#names, epochMs: this.#queue.nowMs }).state;
    }
}
