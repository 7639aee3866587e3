import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { isGood, type PlacementBoard, scoreServer, type ServerOffer } from "@galenaglade/placement";
import { askServer } from "../backends/askServer.js";
import { type ServerConnections } from "../backends/serverConnections.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type StartTimeline } from "../telemetry/startTimeline.js";
import { type EdgeVocabulary } from "../vocabulary.js";
import { type AnswerNotes } from "./answerNotes.js";

/** What questions are asked with. */
export interface LoadInquiryParts {
    readonly board: PlacementBoard;
    readonly notes: AnswerNotes;
    readonly connections: ServerConnections;
    readonly vocabulary: EdgeVocabulary;
    readonly clock: Clock;
    readonly metrics: EdgeMetrics;
    readonly timeline: StartTimeline;
}

/** Asks backend servers for their load, and lets the board know what they said. */
export class LoadInquiry {
    readonly #parts: LoadInquiryParts;

    constructor(parts: LoadInquiryParts) {
        this.#parts = parts;
    }

    /**
     * Asks some servers at once. The first good one is enough: waiting for the others, every request would take as long as
     * the slowest of them.
     *
     * @returns how many have answered once one of them is good, or all have ended
     */
    ask(rules: ServiceRules, servers: readonly RegisteredServer[], timeoutMs: number): Promise<number> {
        return new Promise(resolve => {
            const silent: RegisteredServer[] = [];
            let answered = 0;
            for (const server of servers) {
                void this.#askOne(rules, server, timeoutMs).then(offer => {
                    if (offer === undefined) {
                        silent.push(server);
                    }
                    else {
                        answered++;
                    }
                    const allEnded = answered + silent.length === servers.length;
                    if (allEnded) {
                        this.#blameSilent(rules.name, silent, answered);
                    }
                    if (allEnded || (offer !== undefined && offer.healthy && isGoodOffer(offer))) {
                        resolve(answered);
                    }
                });
            }
        });
    }

    async #askOne(
        rules: ServiceRules,
        server: RegisteredServer,
        timeoutMs: number,
    ): Promise<ServerOffer | undefined> {
        const { board, notes, connections, vocabulary, clock, metrics, timeline } = this.#parts;
        timeline.reach("firstProbe");
        const askedAtMs = clock.monotonicMs();
        const connection = connections.take(server.id, server.address);
        const told = await askServer({ server, connection, healthPath: rules.healthPath, vocabulary, timeoutMs });
        metrics.onAsked(told === undefined ? "failed" : "answered");
        if (told === undefined) {
            // What comes on it later would be taken for the answer to whatever is sent next.
            connection.destroy();
            return undefined;
        }
        timeline.reach("firstProbeAnswered");
        connections.release(server.id, connection, { after: "question", nowMs: clock.monotonicMs() });
        board.onOffer(rules.name, told.offer, askedAtMs);
        const source = { answered: "question", sentAtMs: askedAtMs } as const;
        notes.note({ server, signs: told.signs, source, nowMs: clock.monotonicMs() });
        return told.offer;
    }

    /**
     * A server that doesn't tell its load is asked last for a while, or every request would wait for it. Where none of
     * several answered, this process itself was slow, as right after a start, or its host is cut off: blamed for that,
     * all servers would be suspected at once.
     */
    #blameSilent(service: string, silent: readonly RegisteredServer[], answered: number): void {
        if (answered === 0 && silent.length > 1) {
            return;
        }
        for (const { id } of silent) {
            this.#parts.board.onSilent(service, id, this.#parts.clock.monotonicMs());
        }
    }
}

function isGoodOffer(offer: ServerOffer): boolean {
    return isGood(scoreServer(offer, { typicalMs: 0, sentSince: 0, sameZone: true, suspect: false, reservedSlots: 0 }));
}
