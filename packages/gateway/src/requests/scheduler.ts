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
import { type Grant, type GrantResult } from "./grant.js";
import { type ServerGate } from "./serverGate.js";
import { type ServiceRoute, type ServiceTable, type Target } from "./serviceTable.js";

interface QueuedRequest {
    readonly request: CallerRequest;
    readonly excluded: ReadonlySet<ServerId>;
    readonly settle: (result: Either<Failure, Grant>) => void;
}

/** State of one service that is kept across configuration revisions. */
class ServiceState {
    readonly queue = new WaitQueue();
    readonly retryBudget = new RetryBudget();
    readonly waiting = new Map<number, QueuedRequest>();
    serviceTimeMs = initialServiceTimeMs;
}

/** Dependencies of {@link Scheduler}. */
export interface SchedulerDeps {
    readonly clock: Clock;
    readonly board: ServerLoadTracker;
    readonly policy: RoutingPolicy;
    readonly random: RandomSource;
    readonly gate: ServerGate;
    readonly availabilityZone: string;
    /** The services of the current configuration. */
    readonly table: () => ServiceTable | undefined;
    /** Whether this gateway's configuration is fresh enough for new work. Called in the turn that makes a grant. */
    readonly mayTakeNewWork: () => boolean;
}

/** Assigns requests to backend servers, immediately or from a short queue. */
export class Scheduler {
    readonly #deps: SchedulerDeps;
    readonly #services = new Map<string, ServiceState>();
    #grantCount = 0;

    constructor(deps: SchedulerDeps) {
        this.#deps = deps;
    }

    /**
     * Selects a backend server for a request, or refuses it at once if it would not be served before its deadline.
     *
     * @param request - the request
     * @param excluded - backend servers on which the request has already failed
     * @param signal - aborted when the caller's deadline passes, or the caller of an idempotent request disconnects
     * @returns a grant to send the request, or the failure to report to the caller
     */
    acquire(
        request: CallerRequest,
        excluded: ReadonlySet<ServerId>,
        signal: AbortSignal,
    ): Promise<Either<Failure, Grant>> {
        const state = this.#stateOf(request.route.service.name);
        const now = this.#deps.clock.monotonicMs();
        if (state.queue.length === 0) {
            const grant = this.#tryGrant(request, excluded, now);
            if (grant !== undefined) {
                return Promise.resolve(grant);
            }
        }
        const decision = state.queue.enqueue(
            { id: request.id, deadlineMs: request.deadlineMs },
            now,
            state.serviceTimeMs,
        );
        if (decision.type === "refuse") {
            const retryAfterSeconds = Math.max(1, Math.ceil(decision.retryAfterMs / 1_000));
            return Promise.resolve(
                Left(createFailure("overloaded", "no slot comes free in time", { retryAfterSeconds })),
            );
        }
        return this.#wait(state, request, excluded, signal);
    }

    /** Ends a grant and gives its slot to the next queued request. */
    release(request: CallerRequest, grant: Grant, end: GrantResult): void {
        const { board, clock } = this.#deps;
        const now = clock.monotonicMs();
        const state = this.#stateOf(request.route.service.name);
        board.onEnded(grant.target.serverId, now, end.latencyMs);
        this.#deps.gate.onEnded(grant, end.attempt, now);
        if (end.succeeded) {
            state.retryBudget.onSuccess();
            state.serviceTimeMs += serviceTimeEwmaWeight * (now - grant.grantedAtMs - state.serviceTimeMs);
        }
        state.queue.onSlotFreed(now);
        this.#dispatchFrom(state);
    }

    /** @returns whether a granted request may still be sent in this event loop turn */
    mayStillSend(grant: Grant): boolean {
        return this.#deps.gate.mayStillSend(grant, this.#deps.clock.monotonicMs());
    }

    /** Takes one retry from the service's retry budget. @returns whether the budget allowed it */
    tryAcquireRetry(request: CallerRequest): boolean {
        return this.#stateOf(request.route.service.name).retryBudget.tryTake();
    }

    /** Routes queued requests again after the configuration, its freshness or a backend server's state has changed. */
    dispatchQueued(): void {
        for (const state of this.#services.values()) {
            this.#dispatchFrom(state);
        }
    }

    #wait(
        state: ServiceState,
        request: CallerRequest,
        excluded: ReadonlySet<ServerId>,
        signal: AbortSignal,
    ): Promise<Either<Failure, Grant>> {
        return new Promise(resolve => {
            // Requests of disconnected callers are removed from the queue. Otherwise they would keep their places until
            // their deadlines, which can be hours away, and a queue full of them would refuse all other requests.
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

    #dispatchFrom(state: ServiceState): void {
        const now = this.#deps.clock.monotonicMs();
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

    /** @returns a grant, a final failure, or `undefined` if no backend server can take the request now */
    #tryGrant(
        request: CallerRequest,
        excluded: ReadonlySet<ServerId>,
        nowMs: number,
    ): Either<Failure, Grant> | undefined {
        // A process that was suspended and resumed may run this before any timer, so staleness is checked here.
        if (!this.#deps.mayTakeNewWork()) {
            return Left(createFailure("notFresh", "the configuration can't be shown to be current"));
        }
        const route = this.#currentRoute(request);
        const usable = route?.targets.filter(target => !excluded.has(target.serverId)) ?? [];
        if (route === undefined || usable.length === 0) {
            return Left(createFailure("noBackendServer", "no backend server is left to try"));
        }
        const candidates = this.#preferCold(this.#candidates(usable, nowMs, request.deadlineMs));
        if (candidates.length === 0) {
            return undefined;
        }
        const chosen = candidates[this.#deps.policy.choose(candidates, this.#deps.random)];
        if (chosen === undefined) {
            return undefined;
        }
        this.#deps.board.onSent(chosen.serverId);
        const target = { serverId: chosen.serverId, server: chosen.server };
        const grant = { id: String(++this.#grantCount), target, grantedAtMs: nowMs, revision: route.revision };
        this.#deps.gate.onGranted(grant, request.deadlineMs);
        return Right(grant);
    }

    /**
     * Prefers cold backend servers for a share of the requests. While this gateway holds the permit to warm up a
     * server, no other gateway may. The policy alone might keep preferring other servers, such as those in the local
     * availability zone at low load, so that the server would stay cold for as long as the permit is held.
     */
    #preferCold(candidates: readonly Candidate[]): readonly Candidate[] {
        const cold = candidates.filter(candidate => this.#deps.gate.isCold(candidate));
        return cold.length > 0 && this.#deps.random.next() < warmUpProbability ? cold : candidates;
    }

    /** Looks up the route again if the configuration has changed since the request arrived. */
    #currentRoute(request: CallerRequest): ServiceRoute | undefined {
        const table = this.#deps.table();
        if (table === undefined || table.revision === request.route.revision) {
            return request.route;
        }
        return table.routes.find(route => route.service.name === request.route.service.name);
    }

    #candidates(targets: readonly Target[], nowMs: number, deadlineMs: number): readonly Candidate[] {
        const { board, gate, policy, availabilityZone } = this.#deps;
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
