import { RetryBudget, WaitQueue } from "@galenaglade/admission";
import { createFailure, type Failure } from "@galenaglade/errors";
import {
    type Candidate,
    type RandomSource,
    type RoutingPolicy,
    type ServerLoadTracker,
    type ServerId,
} from "@galenaglade/routing";
import { type Either, Left, Right } from "purify-ts";
import { type Clock } from "@galenaglade/http-parts";
import { initialServiceTimeMs, serviceTimeEwmaWeight, warmUpProbability } from "../constants.js";
import { type CallerRequest } from "./callerRequest.js";
import { type Grant, type GrantEnd } from "./grant.js";
import { type ServerGate } from "./serverGate.js";
import { type ServiceRoute, type ServiceTable, type Target } from "./serviceTable.js";

interface WaitingRequest {
    readonly request: CallerRequest;
    readonly excluded: ReadonlySet<ServerId>;
    readonly settle: (result: Either<Failure, Grant>) => void;
}

/** What outlives revisions of the configuration for one service. */
class ServiceState {
    readonly queue = new WaitQueue();
    readonly retryBudget = new RetryBudget();
    readonly waiting = new Map<number, WaitingRequest>();
    serviceTimeMs = initialServiceTimeMs;
}

/** What the scheduler works with. */
export interface SchedulerDeps {
    readonly clock: Clock;
    readonly board: ServerLoadTracker;
    readonly policy: RoutingPolicy;
    readonly random: RandomSource;
    readonly gate: ServerGate;
    readonly availabilityZone: string;
    /** The services in force. */
    readonly table: () => ServiceTable | undefined;
    /** Whether this gateway's configuration is fresh enough for new work; asked in the same turn as a grant is made. */
    readonly mayTakeNewWork: () => boolean;
}

/** Gives requests leave to go to a backend server, at once or from a short queue. */
export class Scheduler {
    readonly #parts: SchedulerDeps;
    readonly #services = new Map<string, ServiceState>();
    #grants = 0;

    constructor(parts: SchedulerDeps) {
        this.#parts = parts;
    }

    /**
     * Finds a backend server for a request, or refuses at once what would not be served within its patience.
     *
     * @param request - the request
     * @param excluded - backend servers that already failed it
     * @param signal - aborted when its caller's patience ends, or its caller is gone
     * @returns leave to send it, or the refusal that is its final answer
     */
    acquire(
        request: CallerRequest,
        excluded: ReadonlySet<ServerId>,
        signal: AbortSignal,
    ): Promise<Either<Failure, Grant>> {
        const state = this.#stateOf(request.route.service.name);
        const now = this.#parts.clock.monotonicMs();
        if (state.queue.length === 0) {
            const grant = this.#tryGrant(request, excluded, now);
            if (grant !== undefined) {
                return Promise.resolve(grant);
            }
        }
        const verdict = state.queue.enqueue(
            { id: request.id, deadlineMs: request.deadlineMs },
            now,
            state.serviceTimeMs,
        );
        if (verdict.type === "refuse") {
            const retryAfterSeconds = Math.max(1, Math.ceil(verdict.retryAfterMs / 1_000));
            return Promise.resolve(
                Left(createFailure("overloaded", "no slot comes free in time", { retryAfterSeconds })),
            );
        }
        return this.#wait(state, request, excluded, signal);
    }

    /** Ends a grant and hands the slot to whoever waits. */
    release(request: CallerRequest, grant: Grant, end: GrantEnd): void {
        const { board, clock } = this.#parts;
        const now = clock.monotonicMs();
        const state = this.#stateOf(request.route.service.name);
        board.onEnded(grant.target.serverId, now, end.latencyMs);
        this.#parts.gate.onEnded(grant, end.attempt, now);
        if (end.succeeded) {
            state.retryBudget.onSuccess();
            state.serviceTimeMs += serviceTimeEwmaWeight * (now - grant.grantedAtMs - state.serviceTimeMs);
        }
        state.queue.onSlotFreed(now);
        this.#drain(state);
    }

    /** @returns whether a granted request may still be handed over, in this turn */
    mayStillSend(grant: Grant): boolean {
        return this.#parts.gate.mayStillSend(grant, this.#parts.clock.monotonicMs());
    }

    /** @returns whether the service's retry budget allows one more try; it is paid for when it does */
    tryAcquireRetry(request: CallerRequest): boolean {
        return this.#stateOf(request.route.service.name).retryBudget.tryTake();
    }

    /** Routes anew whatever waits: the configuration, the freshness or a backend server's state has changed. */
    dispatchQueued(): void {
        for (const state of this.#services.values()) {
            this.#drain(state);
        }
    }

    #wait(
        state: ServiceState,
        request: CallerRequest,
        excluded: ReadonlySet<ServerId>,
        signal: AbortSignal,
    ): Promise<Either<Failure, Grant>> {
        return new Promise(resolve => {
            // A caller that hung up would keep its place until its patience ended, all night for an extract, and a queue
            // full of such places would refuse everybody else.
            const giveUp = (): void => {
                state.queue.remove(request.id);
                settle(Left(createFailure("patienceSpent", "no slot came free in time")));
            };
            const settle = (result: Either<Failure, Grant>): void => {
                signal.removeEventListener("abort", giveUp);
                state.waiting.delete(request.id);
                resolve(result);
            };
            state.waiting.set(request.id, { request, excluded, settle });
            signal.addEventListener("abort", giveUp, { once: true });
        });
    }

    #drain(state: ServiceState): void {
        const now = this.#parts.clock.monotonicMs();
        for (let next = state.queue.dequeue(now); next !== undefined; next = state.queue.dequeue(now)) {
            const waiting = state.waiting.get(next.id);
            if (waiting === undefined) {
                continue;
            }
            const grant = this.#tryGrant(waiting.request, waiting.excluded, now);
            if (grant === undefined) {
                state.queue.putBack(next);
                return;
            }
            waiting.settle(grant);
        }
    }

    /** @returns a grant, a final refusal, or `undefined` where every backend server is full just now */
    #tryGrant(
        request: CallerRequest,
        excluded: ReadonlySet<ServerId>,
        nowMs: number,
    ): Either<Failure, Grant> | undefined {
        // A process that was stopped and continued comes by here first: it has to find out that its configuration is
        // stale before it sends, not with its next timer.
        if (!this.#parts.mayTakeNewWork()) {
            return Left(createFailure("notFresh", "the configuration can't be shown to be current"));
        }
        const route = this.#presentRoute(request);
        const usable = route?.targets.filter(target => !excluded.has(target.serverId)) ?? [];
        if (route === undefined || usable.length === 0) {
            return Left(createFailure("noBackendServer", "no backend server is left to try"));
        }
        const candidates = this.#preferCold(this.#candidates(usable, nowMs, request.deadlineMs));
        if (candidates.length === 0) {
            return undefined;
        }
        const chosen = candidates[this.#parts.policy.choose(candidates, this.#parts.random)];
        if (chosen === undefined) {
            return undefined;
        }
        this.#parts.board.onSent(chosen.serverId);
        const target = { serverId: chosen.serverId, server: chosen.server };
        const grant = { id: String(++this.#grants), target, grantedAtMs: nowMs, revision: route.revision };
        this.#parts.gate.onGranted(grant, request.deadlineMs);
        return Right(grant);
    }

    /**
     * While this gateway may warm a server up, no other may. Left to a policy that prefers others, at little load one in
     * the own availability zone, the server would stay cold for as long as the permit is kept.
     */
    #preferCold(candidates: readonly Candidate[]): readonly Candidate[] {
        const cold = candidates.filter(candidate => this.#parts.gate.isCold(candidate));
        return cold.length > 0 && this.#parts.random.next() < warmUpProbability ? cold : candidates;
    }

    /** What waited through a change of the configuration goes by the new one. */
    #presentRoute(request: CallerRequest): ServiceRoute | undefined {
        const table = this.#parts.table();
        if (table === undefined || table.revision === request.route.revision) {
            return request.route;
        }
        return table.routes.find(route => route.service.name === request.route.service.name);
    }

    #candidates(targets: readonly Target[], nowMs: number, deadlineMs: number): readonly Candidate[] {
        const { board, gate, policy, availabilityZone } = this.#parts;
        const candidates: Candidate[] = [];
        for (const target of targets) {
            const { serverId, server } = target;
            if (board.ownInFlight(serverId) >= server.slots || !gate.maySend(target, nowMs, deadlineMs)) {
                continue;
            }
            const local = server.availabilityZone === availabilityZone;
            candidates.push(board.createCandidate(serverId, server, local, policy.usesPeerLoads, nowMs));
        }
        return candidates;
    }

    #stateOf(service: string): ServiceState {
        let state = this.#services.get(service);
        if (state === undefined) {
            state = new ServiceState();
            this.#services.set(service, state);
        }
        return state;
    }
}
