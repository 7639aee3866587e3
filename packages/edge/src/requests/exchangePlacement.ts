import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type LogFields } from "@galenaglade/telemetry";
import { type EdgeRequest } from "./edgeRequest.js";
import { type ExchangeDeps } from "./exchangeDeps.js";
import { type PlacementFailure, type Placement, type SearchTrace } from "./placer.js";

/** Purpose of a send. */
export type SendPurpose = "first" | "retry" | "hedge";

/** Picks the servers for all sends of one request, and keeps what the log line needs. */
export class ExchangePlacement {
    readonly #deps: ExchangeDeps;
    readonly #request: EdgeRequest;
    readonly #signal: AbortSignal;
    readonly #whenInputRead: () => Promise<void>;
    readonly #triedServers = new Set<string>();
    readonly #trace: SearchTrace = {
        usable: 0,
        asked: 0,
        offers: 0,
        probeEnds: new Map(),
        restingForMs: undefined,
    };
    #placedAfterMs: number | undefined;
    /** Age of the first server's load report when the server was picked, in milliseconds. */
    #offerAgeMs: number | undefined;
    #firstReason: string | undefined;
    /** Version on trial that the first send went to. */
    #trialVersion: string | undefined;

    constructor(deps: ExchangeDeps, request: EdgeRequest, signal: AbortSignal, whenInputRead: () => Promise<void>) {
        this.#deps = deps;
        this.#request = request;
        this.#signal = signal;
        this.#whenInputRead = whenInputRead;
    }

    /** @returns the server for the next send, preferably one that was not tried before */
    async place(purpose: SendPurpose): Promise<Placement | PlacementFailure> {
        const trial = purpose === "first" ? await this.#placeTrial() : undefined;
        const found = trial ?? await this.#search(purpose === "hedge");
        if (purpose === "first") {
            this.#onFirstPlacement(found);
        }
        return found;
    }

    /** Records a send, so that the server is excluded from further searches while there are others. */
    onSend(serverId: string): void {
        this.#triedServers.add(serverId);
    }

    /** @returns log fields about how servers were found */
    describe(): LogFields {
        const { probeEnds, ...trace } = this.#trace;
        return {
            ...trace,
            untold: [...probeEnds].filter(([end]) => end !== "told").map(([end, count]) => `${end}:${count}`).join(","),
            placed: this.#firstReason,
            servers: [...this.#triedServers].join(","),
            trialVersion: this.#trialVersion,
            placedAfterMs: this.#placedAfterMs,
            offerAgeMs: this.#offerAgeMs,
        };
    }

    /** @returns a server of a version on trial, if this request is selected and one has spare capacity now */
    async #placeTrial(): Promise<Placement | undefined> {
        const { rollouts } = this.#deps;
        const service = this.#request.rules.name;
        for (const candidates of rollouts.trialServerGroups(service, this.#deps.clock.monotonicMs())) {
            const found = await this.#search(true, candidates);
            if (typeof found !== "string") {
                rollouts.onTrial(service);
                this.#trialVersion = found.server.version;
                return found;
            }
        }
        return undefined;
    }

    #search(onlyGood: boolean, candidates?: readonly RegisteredServer[]): Promise<Placement | PlacementFailure> {
        const { rules, route, priority, arrivedAtMs, cutoffMs } = this.#request;
        return this.#deps.placer.place({
            rules,
            objectiveMs: route.objectiveMs,
            priority,
            arrivedAtMs,
            cutoffMs,
            triedServers: this.#triedServers,
            signal: this.#signal,
            whenInputRead: this.#whenInputRead,
            mayHandOver: this.#request.handedOverBy === undefined,
            onlyGood,
            trace: this.#trace,
            ...(candidates === undefined ? {} : { candidates }),
        });
    }

    #onFirstPlacement(found: Placement | PlacementFailure): void {
        const { metrics, clock } = this.#deps;
        this.#firstReason = typeof found === "string" ? found : found.reason;
        this.#offerAgeMs = typeof found === "string" ? undefined : Math.round(found.ageMs);
        this.#placedAfterMs = Math.round(clock.monotonicMs() - this.#request.arrivedAtMs);
        metrics.onPlaced(this.#request.rules.name, this.#placedAfterMs);
    }
}
