import { type FleetView, type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import {
    AskBudget,
    askedFirst,
    type AskPurpose,
    choosePlacement,
    ColdAdmission,
    type ColdInput,
    longestPauseMs,
    orderToAsk,
    scoreServer,
    type ServerOffer,
    type ServerScore,
    ServerSubset,
    ServerTrust,
    shortestPauseMs,
    TypicalWork,
    waitShare,
} from "@galenaglade/placement";
import { type RandomSource } from "@galenaglade/routing";
import { askServer } from "../backends/askServer.js";
import { type ServerConnection } from "../backends/serverConnection.js";
import { type ServerConnections } from "../backends/serverConnections.js";
import { askTimeoutMs, longestAskTimeoutMs } from "../constants.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type EdgeVocabulary } from "../vocabulary.js";
import { RecentSends } from "./recentSends.js";

/** What the placer works with. */
export interface PlacerParts {
    readonly name: string;
    readonly availabilityZone: string;
    readonly view: FleetView;
    readonly connections: ServerConnections;
    readonly vocabulary: EdgeVocabulary;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly metrics: EdgeMetrics;
    /** Questions for a server's load that all gateways may ask together, a server and second. */
    readonly asksPerServerAndSecond: number;
}

/** A request in search of a server. */
export interface PlaceInput {
    readonly rules: ServiceRules;
    readonly objectiveMs: number;
    readonly arrivedAtMs: number;
    /** When its caller or its route gives up. */
    readonly cutoffMs: number;
    /** Servers that it was sent to before. */
    readonly excluded: ReadonlySet<string>;
    readonly signal: AbortSignal;
    /** Whether to look once, and take none but a good server. */
    readonly onlyGood: boolean;
    /** Counted up while the search goes on. */
    readonly trace: SearchTrace;
}

/** Why no server was found. */
export type NoPlace = "noServer" | "allFull" | "tooLate" | "noOffer" | "noneGood" | "abandoned";

/** What a search for a server looked at, for the log. */
export interface SearchTrace {
    /** Servers that may be given work, at the last look. */
    usable: number;
    /** Questions for load. */
    asked: number;
    /** Answers to them. */
    offers: number;
}

/** Where a request goes. */
export interface Place {
    readonly server: RegisteredServer;
    /** The connection on which the server has just answered. */
    readonly connection: ServerConnection;
    readonly score: ServerScore;
    /** Why this server. */
    readonly reason: string;
}

interface Asked {
    readonly server: RegisteredServer;
    readonly connection: ServerConnection;
    readonly offer: ServerOffer;
    readonly askedAtMs: number;
}

/** Finds a backend server for a request: asks some for their load, and lets the decisions choose, wait or refuse. */
export class Placer {
    readonly trust = new ServerTrust();
    readonly work = new TypicalWork();
    readonly #parts: PlacerParts;
    readonly #cold: ColdAdmission;
    readonly #askBudget: AskBudget;
    readonly #recent = new RecentSends();
    readonly #subsets = new Map<string, ServerSubset>();

    constructor(parts: PlacerParts) {
        this.#parts = parts;
        this.#cold = new ColdAdmission(parts.name);
        this.#askBudget = new AskBudget(parts.asksPerServerAndSecond);
    }

    /** @returns where the request goes; whoever gets a place must send or give its connection back */
    async place(input: PlaceInput): Promise<Place | NoPlace> {
        const { view, clock, random, availabilityZone } = this.#parts;
        for (let round = 0; !input.signal.aborted; round++) {
            const nowMs = clock.monotonicMs();
            const usable = view.usableServers(input.rules.name, nowMs);
            input.trace.usable = usable.length;
            // A service with one server left has no other to try.
            const others = usable.filter(server => !input.excluded.has(server.id));
            const candidates = others.length > 0 ? others : usable;
            if (candidates.length === 0) {
                return "noServer";
            }
            const ordered = orderToAsk({
                servers: candidates,
                availabilityZone,
                subset: this.#subsetOf(input.rules.name, usable),
                isSuspect: id => this.trust.isSuspect(id, nowMs),
                random,
            });
            const found = await this.#round(input, ordered, round);
            if (found !== "wait") {
                return found;
            }
            if (input.onlyGood) {
                return "noneGood";
            }
            await sleep(shortestPauseMs + (longestPauseMs - shortestPauseMs) * random.next());
        }
        return "abandoned";
    }

    /** Gives back what a place holds, where nothing was sent there. */
    release(place: Place): void {
        this.#parts.connections.release(place.server.id, place.connection);
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        this.trust.retain(serverIds);
        this.#askBudget.retain(serverIds);
        this.#cold.retain(serverIds);
        this.#recent.retain(serverIds);
    }

    #subsetOf(service: string, usable: readonly RegisteredServer[]): ReadonlySet<string> {
        const { name, availabilityZone } = this.#parts;
        const subset = this.#subsets.get(service) ?? new ServerSubset(name);
        this.#subsets.set(service, subset);
        return subset.of(usable.filter(server => server.availabilityZone === availabilityZone));
    }

    /** Asks in waves until a server is chosen, or all were asked. */
    async #round(
        input: PlaceInput,
        ordered: readonly RegisteredServer[],
        round: number,
    ): Promise<Place | NoPlace | "wait"> {
        // Its last look is as good as a new request's: refused for want of a question, it would be lost to free servers.
        const purpose = round === 0 || this.#isLastRound(input) ? "arrival" : "waiting";
        const timeoutMs = Math.min(longestAskTimeoutMs, askTimeoutMs * 2 ** round);
        const asked: Asked[] = [];
        let unasked = ordered;
        for (;;) {
            const wanted = Math.min(askedFirst, unasked.length);
            const wave = this.#takeAsks(unasked, purpose, wanted);
            unasked = wave.length < wanted ? [] : unasked.filter(server => !wave.includes(server));
            if (wave.length === 0 && asked.length === 0) {
                return "wait";
            }
            const answered = await this.#ask(input.rules, wave, timeoutMs);
            input.trace.asked += wave.length;
            input.trace.offers += answered.length;
            asked.push(...answered);
            if (input.signal.aborted) {
                this.#giveBack(asked, undefined);
                return "abandoned";
            }
            const decision = this.#decide(input, asked, unasked.length > 0);
            switch (decision.type) {
                case "widen":
                    continue;
                case "send": {
                    if (input.onlyGood && decision.reason !== "good") {
                        break;
                    }
                    const place = this.#take(asked, decision.score, decision.reason, input.rules);
                    this.#giveBack(asked, place);
                    return place;
                }
                case "wait":
                    break;
                case "refuse":
                    this.#giveBack(asked, undefined);
                    return decision.reason;
            }
            this.#giveBack(asked, undefined);
            return "wait";
        }
    }

    /** Whether the time for which a request is held for a better server is over. */
    #isLastRound({ arrivedAtMs, objectiveMs }: PlaceInput): boolean {
        return this.#parts.clock.monotonicMs() - arrivedAtMs >= objectiveMs * waitShare;
    }

    #takeAsks(
        ordered: readonly RegisteredServer[],
        purpose: AskPurpose,
        wanted: number,
    ): readonly RegisteredServer[] {
        const { view, clock } = this.#parts;
        const nowMs = clock.monotonicMs();
        return this.#askBudget.take({ ordered, purpose, wanted, gateways: view.gateways(nowMs).length, nowMs });
    }

    #decide(input: PlaceInput, asked: readonly Asked[], hasUnasked: boolean): ReturnType<typeof choosePlacement> {
        const { clock } = this.#parts;
        const nowMs = clock.monotonicMs();
        const typicalMs = this.work.of(input.rules.name, input.objectiveMs);
        const admitted = asked.filter(entry => this.#isAdmitted(entry, input.rules, nowMs));
        const healthy = admitted.filter(({ offer }) => offer.healthy);
        // Health checks may all be wrong at once; with none that says it is well, the others are better than nobody.
        const choice = healthy.length === 0 && !hasUnasked ? admitted : healthy;
        return choosePlacement({
            scores: choice.map(entry => this.#score(entry, typicalMs, nowMs)),
            hasUnasked,
            waitedMs: nowMs - input.arrivedAtMs,
            objectiveMs: input.objectiveMs,
            remainingMs: input.cutoffMs - nowMs,
            typicalMs,
        });
    }

    #score({ offer, server, askedAtMs }: Asked, typicalMs: number, nowMs: number): ServerScore {
        return scoreServer(offer, {
            typicalMs,
            sentSince: this.#recent.since(server.id, askedAtMs),
            sameZone: server.availabilityZone === this.#parts.availabilityZone,
            suspect: this.trust.isSuspect(server.id, nowMs),
        });
    }

    #isAdmitted({ offer, server }: Asked, rules: ServiceRules, nowMs: number): boolean {
        if (!this.#parts.view.isUsable(server.id, nowMs)) {
            return false;
        }
        return offer.coldRemainingMs <= 0 || this.#cold.mayTake(this.#coldInput(server.id, rules, nowMs));
    }

    #coldInput(serverId: string, rules: ServiceRules, nowMs: number): ColdInput {
        const { view } = this.#parts;
        return {
            serverId,
            requestsPerSecond: rules.coldRequestsPerSecond,
            gateways: view.gateways(nowMs),
            sinceContactMs: nowMs - view.lastContactMs,
            nowMs,
        };
    }

    #take(
        asked: readonly Asked[],
        score: ServerScore,
        reason: string,
        rules: ServiceRules,
    ): Place {
        const nowMs = this.#parts.clock.monotonicMs();
        const chosen = asked.find(entry => entry.offer === score.offer);
        if (chosen === undefined) {
            throw new Error("the chosen server was not asked");
        }
        const { server, connection } = chosen;
        this.#recent.onSend(server.id, nowMs);
        if (score.offer.coldRemainingMs > 0) {
            this.#cold.onSend(this.#coldInput(server.id, rules, nowMs));
        }
        return { server, connection, score, reason };
    }

    async #ask(
        rules: ServiceRules,
        wave: readonly RegisteredServer[],
        timeoutMs: number,
    ): Promise<readonly Asked[]> {
        const { connections, vocabulary, clock, metrics } = this.#parts;
        const answers = await Promise.all(wave.map(async server => {
            const askedAtMs = clock.monotonicMs();
            const connection = connections.take(server.id, server.address);
            const question = { server, connection, healthPath: rules.healthPath, vocabulary, timeoutMs };
            // A kept connection may have been closed by its server meanwhile; the second question opens a new one.
            const offer = await askServer(question) ?? (connection.wasReset ? await askServer(question) : undefined);
            metrics.onAsked(offer === undefined ? "failed" : "answered");
            if (offer === undefined) {
                connections.release(server.id, connection);
                return undefined;
            }
            return { server, connection, offer, askedAtMs };
        }));
        const asked = answers.filter(answer => answer !== undefined);
        this.#suspectSilent(wave, asked);
        return asked;
    }

    /**
     * A server that doesn't tell its load is asked last for a while, or every request would wait for it. Where none of
     * several answered, this process itself was slow, as right after a start, or its host is cut off: blamed for that,
     * all servers would be suspected at once.
     */
    #suspectSilent(wave: readonly RegisteredServer[], asked: readonly Asked[]): void {
        if (asked.length === 0 && wave.length > 1) {
            return;
        }
        const nowMs = this.#parts.clock.monotonicMs();
        for (const { id } of wave) {
            if (!asked.some(({ server }) => server.id === id)) {
                this.trust.onFailure(id, nowMs);
            }
        }
    }

    #giveBack(asked: readonly Asked[], kept: Place | undefined): void {
        for (const { server, connection } of asked) {
            if (connection !== kept?.connection) {
                this.#parts.connections.release(server.id, connection);
            }
        }
    }
}
