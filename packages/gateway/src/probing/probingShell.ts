import { type AnswerSigns } from "@galenaglade/cold-start";
import { type Service } from "@galenaglade/configuration";
import { type KeyValueStore } from "@galenaglade/platform";
import { type ProbedService, ProbeScheduler } from "@galenaglade/probing";
import { createServerId, type LoadReport, type RandomSource, type ServerId } from "@galenaglade/routing";
import { type Clock } from "@galenaglade/http-parts";
import { runStoreCommand } from "../coldStart/storeCalls.js";
import { busyPauseMs, idlePauseMs, seatTickMs } from "./constants.js";
import { sendProbe } from "./probeRequest.js";

/** What the shell works with. */
export interface ProbingShellParts {
    /** `name/incarnation` of this gateway. */
    readonly self: string;
    readonly clock: Clock;
    readonly store: KeyValueStore;
    readonly random: RandomSource;
    /** Called with what a probed server said. It may lag or mislead: a word, not the truth. */
    readonly onReport: (serverId: ServerId, report: LoadReport, signs: AnswerSigns, nowMs: number) => void;
}

/** Sends the probes that the scheduler allows, and tells what came of them. */
export class ProbingShell {
    readonly #parts: ProbingShellParts;
    readonly #scheduler: ProbeScheduler;
    readonly #origins = new Map<ServerId, string>();
    readonly #stopping = new AbortController();
    readonly #probes = new Set<Promise<void>>();
    #tickTimer: NodeJS.Timeout | undefined;
    #probeTimer: NodeJS.Timeout | undefined;

    constructor(parts: ProbingShellParts) {
        this.#parts = parts;
        this.#scheduler = new ProbeScheduler(parts.self, parts.random);
    }

    start(): void {
        this.#tickTimer = setInterval(() => this.#tick(), seatTickMs);
        this.#tick();
        this.#look();
    }

    /** Ends what is in flight; no report comes after it. The seats lapse with their lease. */
    async stop(): Promise<void> {
        clearInterval(this.#tickTimer);
        clearTimeout(this.#probeTimer);
        this.#stopping.abort();
        await Promise.all(this.#probes);
    }

    /** Takes the services of a newer configuration. */
    onConfiguration(services: readonly Service[]): void {
        this.#origins.clear();
        for (const service of services) {
            for (const server of service.backendServers) {
                this.#origins.set(createServerId(service.name, server.name), resolveOrigin(server));
            }
        }
        this.#scheduler.onServices(services.map(resolveProbedService), this.#now());
    }

    /**
     * Notes a round of heartbeats with a majority that showed this gateway's configuration to be current.
     *
     * @param startedAtMs - when the round began, by the shell's clock
     */
    onContact(startedAtMs: number): void {
        this.#scheduler.onContact(startedAtMs, this.#now());
    }

    /** Notes that the server's load is known, from an answer or a peer, as of `atMs`; it needs no probe for a while. */
    onHeard(serverId: ServerId, atMs: number): void {
        this.#scheduler.onHeard(serverId, atMs);
    }

    #now(): number {
        return this.#parts.clock.monotonicMs();
    }

    #tick(): void {
        for (const command of this.#scheduler.tick(this.#now())) {
            const askedAtMs = this.#now();
            void runStoreCommand(this.#parts.store, command).then(outcome => {
                this.#scheduler.onStoreReply({ command, askedAtMs, outcome }, this.#now());
            });
        }
    }

    #look(): void {
        const nowMs = this.#now();
        const serverId = this.#scheduler.takeProbe(nowMs);
        if (serverId !== undefined) {
            const probe = this.#probe(serverId, nowMs).finally(() => this.#probes.delete(probe));
            this.#probes.add(probe);
        }
        this.#probeTimer = setTimeout(() => this.#look(), serverId === undefined ? idlePauseMs : busyPauseMs);
    }

    async #probe(serverId: ServerId, takenAtMs: number): Promise<void> {
        const origin = this.#origins.get(serverId);
        if (origin === undefined) {
            return;
        }
        const { signal } = this.#stopping;
        const mayStillSend = (): boolean => this.#scheduler.mayStillSend(serverId, takenAtMs, this.#now());
        const answer = await sendProbe({ origin, client: this.#parts.self, mayStillSend, signal });
        if (signal.aborted) {
            return;
        }
        answer.ifJust(signs => {
            const nowMs = this.#now();
            this.#scheduler.onHeard(serverId, nowMs);
            this.#parts.onReport(serverId, { inFlight: signs.inFlight }, signs, nowMs);
        });
    }
}

function resolveProbedService(service: Service): ProbedService {
    const { probesPerSecond, seats } = service.loadMeasuring;
    const serverIds = service.backendServers.map(server => createServerId(service.name, server.name));
    return { service: service.name, probesPerSecond, seats, serverIds };
}

function resolveOrigin({ address, port }: Service["backendServers"][number]): string {
    return address.includes(":") ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}
