import {
    peerQueryIntervalMs,
    maxRecoveryRounds,
    localAttemptIntervalMs,
    recoveryRounds,
    relapseWindowMs,
} from "./constants.js";
import { type ServerContact, type LinkFailure } from "./serverContact.js";
import { LinkFailureDetector } from "./linkFailureDetector.js";

/** Whether this host reaches the servers of a service. */
export type ReachabilityState =
    /** The service is reachable, as far as known. */
    | "reached"
    /** No server has answered recently; other gateways are being asked whether they reach any. */
    | "doubted"
    /** Another gateway reaches the servers, so the links of this host are at fault. */
    | "lost"
    /** No other gateway that was asked reaches the servers either. */
    | "unreachable";

/** A state change, for the log. */
export interface ReachabilityChange {
    readonly from: ReachabilityState;
    readonly to: ReachabilityState;
    /** Evidence against the links; `undefined` in the `reached` state. */
    readonly linkFailure: LinkFailure | undefined;
    /** Duration of the previous state, in milliseconds. */
    readonly afterMs: number;
}

/**
 * Tracks whether this host reaches one service. If only this host fails to reach the servers, its links are at fault;
 * if every host fails, the servers are. So the links count as lost only after another gateway has answered that it
 * reaches the servers. They count as recovered after several consecutive successful probe rounds.
 */
export class ServiceReachability {
    readonly #detector = new LinkFailureDetector();
    #state: ReachabilityState = "reached";
    #stateSinceMs = 0;
    #linkFailure: LinkFailure | undefined;
    #successfulRounds = 0;
    #requiredRounds = recoveryRounds;
    #recoveredAtMs = -Infinity;
    #peersQueriedAtMs = -Infinity;
    #localAttemptAtMs = -Infinity;

    get state(): ReachabilityState {
        return this.#state;
    }

    /** @returns time since the start of the newest answered exchange, in milliseconds; infinite if there was none */
    sinceLastAnswerMs(nowMs: number): number {
        return nowMs - (this.#detector.lastAnsweredStartMs ?? -Infinity);
    }

    /**
     * Handles the end of an exchange with a server.
     *
     * @param countServers - counts the servers of the service that may get requests
     */
    onContact(contact: ServerContact, countServers: () => number, nowMs: number): ReachabilityChange | undefined {
        this.#detector.onContact(contact);
        if (this.#state === "lost") {
            return undefined;
        }
        this.#linkFailure = this.#detector.detectFailure(countServers, nowMs);
        if (this.#linkFailure === undefined) {
            return this.#transition("reached", nowMs);
        }
        return this.#state === "reached" ? this.#transition("doubted", nowMs) : undefined;
    }

    /** Other gateways are being queried. */
    onPeersQueried(nowMs: number): void {
        this.#peersQueriedAtMs = nowMs;
    }

    /** @returns whether other gateways are to be queried now */
    isPeerQueryDue(nowMs: number): boolean {
        return this.#state === "doubted"
            || (this.#state === "unreachable" && nowMs - this.#peersQueriedAtMs >= peerQueryIntervalMs);
    }

    /**
     * Handles the result of querying other gateways.
     *
     * @param reaches - whether any of them reaches the service
     */
    onPeerQueryResult(reaches: boolean, nowMs: number): ReachabilityChange | undefined {
        return this.#state === "reached" ? undefined : this.#transition(reaches ? "lost" : "unreachable", nowMs);
    }

    /**
     * Handles the result of one round of probes over new connections.
     *
     * @param answered - whether any server answered
     */
    onProbeRound(answered: boolean, nowMs: number): ReachabilityChange | undefined {
        this.#successfulRounds = answered ? this.#successfulRounds + 1 : 0;
        if (this.#state !== "lost" || this.#successfulRounds < this.#requiredRounds) {
            return undefined;
        }
        this.#detector.clear();
        return this.#transition("reached", nowMs);
    }

    /**
     * Called for a request that cannot be handed to another gateway. While no server answers, a single request tries
     * servers directly from time to time, so that the others do not wait for a known failure. There is no such limit
     * if only new connections fail, because established ones may still serve the request.
     *
     * @returns whether the request may try servers directly
     */
    tryAcquireLocalAttempt(nowMs: number): boolean {
        if (this.#state !== "unreachable" || this.#linkFailure?.kind === "newConnections") {
            return true;
        }
        if (nowMs - this.#localAttemptAtMs < localAttemptIntervalMs) {
            return false;
        }
        this.#localAttemptAtMs = nowMs;
        return true;
    }

    #transition(to: ReachabilityState, nowMs: number): ReachabilityChange | undefined {
        const from = this.#state;
        if (from === to) {
            return undefined;
        }
        const afterMs = nowMs - this.#stateSinceMs;
        this.#state = to;
        this.#stateSinceMs = nowMs;
        if (to === "lost") {
            this.#successfulRounds = 0;
            this.#requiredRounds = nowMs - this.#recoveredAtMs < relapseWindowMs
                ? Math.min(maxRecoveryRounds, this.#requiredRounds * 2)
                : recoveryRounds;
        }
        if (from === "lost" && to === "reached") {
            this.#recoveredAtMs = nowMs;
        }
        return { from, to, linkFailure: to === "reached" ? undefined : this.#linkFailure, afterMs };
    }
}
