import { Agent, request } from "undici";
import { backendHeaders } from "../backendServer/backendResponse.js";
import { type HistoryRecorder, NoopHistoryRecorder } from "../recording/historyRecorder.js";
import { type RequestOutcome, classifyResponse } from "./classifyResponse.js";
import { type CallerPlan } from "./callerPlan.js";
import { generateSchedule, type ScheduledRequest } from "./generateSchedule.js";
import { OutcomeTally } from "./outcomeTally.js";

/** An open-loop load generator: sends each request of a plan at its scheduled time, however slow earlier ones are. */
export class Caller {
    readonly #plan: CallerPlan;
    readonly #history: HistoryRecorder;
    readonly #agent: Agent;
    readonly #tally = new OutcomeTally();
    readonly #openRequests = new Set<Promise<void>>();

    constructor(plan: CallerPlan, history: HistoryRecorder = new NoopHistoryRecorder()) {
        this.#plan = plan;
        this.#history = history;
        this.#agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
    }

    /**
     * Runs the whole plan and waits for every outcome.
     *
     * @returns counts and latencies of the requests
     */
    async run(): Promise<OutcomeTally> {
        const startMs = performance.now();
        for (const scheduled of generateSchedule(this.#plan)) {
            await sleepUntil(startMs + scheduled.atMs);
            this.#start(scheduled, startMs + scheduled.atMs);
        }
        await Promise.all(this.#openRequests);
        await this.#agent.destroy();
        return this.#tally;
    }

    #start(scheduled: ScheduledRequest, dueMs: number): void {
        if (this.#openRequests.size >= this.#plan.maximumOpen) {
            this.#addToTally(scheduled, { type: "notSent" }, 0);
            return;
        }
        const done = this.#send(scheduled, dueMs).finally(() => this.#openRequests.delete(done));
        this.#openRequests.add(done);
    }

    async #send(scheduled: ScheduledRequest, dueMs: number): Promise<void> {
        const { requestId, mix, idempotencyKey } = scheduled;
        this.#history.record({
            type: "callerSent",
            requestId,
            service: mix.service,
            idempotent: mix.idempotent,
            idempotencyKey,
            patienceMs: mix.patienceMs,
        });
        const outcome = await this.#exchange(scheduled, dueMs);
        this.#recordOutcome(requestId, outcome);
        this.#addToTally(scheduled, outcome, performance.now() - dueMs);
    }

    async #exchange(scheduled: ScheduledRequest, dueMs: number): Promise<RequestOutcome> {
        const timeoutAtMs = dueMs + scheduled.mix.patienceMs + this.#plan.listenBeyondMs;
        const timeoutSignal = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutAtMs - performance.now())));
        try {
            const res = await request(scheduled.target + scheduled.mix.path, {
                method: scheduled.mix.method,
                dispatcher: this.#agent,
                headers: this.#createHeaders(scheduled),
                body: scheduled.mix.bodyBytes === 0 ? undefined : "x".repeat(scheduled.mix.bodyBytes),
                signal: timeoutSignal,
            });
            return classifyResponse(scheduled.requestId, {
                status: res.statusCode,
                didRun: readHeader(res.headers[backendHeaders.didRun]),
                bodyDigest: readHeader(res.headers[backendHeaders.bodyDigest]),
                text: await res.body.text(),
            });
        }
        catch {
            return timeoutSignal.aborted ? { type: "gaveUp" } : { type: "cutOff" };
        }
    }

    #createHeaders({ requestId, mix, workMs, idempotencyKey }: ScheduledRequest): Record<string, string> {
        return {
            host: mix.authority,
            [this.#plan.callerKindHeader]: mix.callerKind,
            [backendHeaders.requestId]: requestId,
            [backendHeaders.workMs]: workMs.toFixed(3),
            [backendHeaders.answerBytes]: String(mix.answerBytes),
            ...(idempotencyKey === undefined ? {} : { [backendHeaders.idempotencyKey]: idempotencyKey }),
        };
    }

    #recordOutcome(requestId: string, outcome: RequestOutcome): void {
        switch (outcome.type) {
            case "cutOff":
                this.#history.record({ type: "callerCutOff", requestId });
                return;
            case "gaveUp":
                this.#history.record({ type: "callerGaveUp", requestId });
                return;
            case "notSent":
                return;
            default:
                this.#history.record({
                    type: "callerAnswered",
                    requestId,
                    status: outcome.status,
                    didRun: outcome.type === "refused" ? outcome.didRun : "yes",
                    whole: outcome.type !== "wrong",
                    bodyRequestId: outcome.type === "refused" ? undefined : outcome.bodyRequestId,
                });
        }
    }

    #addToTally({ atMs, mix }: ScheduledRequest, outcome: RequestOutcome, tookMs: number): void {
        if (atMs >= this.#plan.warmUpMs) {
            this.#tally.add(`${mix.service}/${mix.callerKind}`, outcome, tookMs, mix.patienceMs);
        }
    }
}

/** Rechecks the clock after each timer, which may fire up to a millisecond early: latencies could become negative. */
async function sleepUntil(dueMs: number): Promise<void> {
    for (let remainingMs = dueMs - performance.now(); remainingMs > 0; remainingMs = dueMs - performance.now()) {
        await new Promise(resolve => setTimeout(resolve, Math.ceil(remainingMs)));
    }
}

function readHeader(value: string | string[] | undefined): string | undefined {
    return typeof value === "string" ? value : undefined;
}
