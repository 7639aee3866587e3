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
    /** As far as is known. */
    | "reached"
    /** None has answered lately; other gateways are being asked whether they reach any. */
    | "doubted"
    /** Another gateway reaches them: it is this host's links that fail. */
    | "lost"
    /** No other gateway reaches them either, as far as they were asked. */
    | "unreachable";

/** A change of it, for the log. */
export interface ReachabilityChange {
    readonly from: ReachabilityState;
    readonly to: ReachabilityState;
    /** Why the links are doubted; `undefined` where they are not any more. */
    readonly linkFailure: LinkFailure | undefined;
    /** How long the state before lasted, in milliseconds. */
    readonly afterMs: number;
}

/**
 * Whether this host reaches one service. What fails here alone speaks against the links, what fails everywhere against the servers: so
 * a loss counts only once another gateway says that it reaches them. It ends when several rounds of checks in a row were answered.
 */
export class ServiceReachability {
    readonly #evidence = new LinkFailureDetector();
    #state: ReachabilityState = "reached";
    #sinceMs = 0;
    #loss: LinkFailure | undefined;
    #rounds = 0;
    #wantedRounds = recoveryRounds;
    #regainedAtMs = -Infinity;
    #askedAtMs = -Infinity;
    #ownTryAtMs = -Infinity;

    get state(): ReachabilityState {
        return this.#state;
    }

    /** @returns how long ago an exchange began that was answered, in milliseconds; infinite where none was */
    sinceLastAnswerMs(nowMs: number): number {
        return nowMs - (this.#evidence.lastAnsweredStartMs ?? -Infinity);
    }

    /** An exchange with a server has ended. @param countServers - counts those of the service that may be given work */
    onContact(contact: ServerContact, countServers: () => number, nowMs: number): ReachabilityChange | undefined {
        this.#evidence.onContact(contact);
        if (this.#state === "lost") {
            return undefined;
        }
        this.#loss = this.#evidence.detectFailure(countServers, nowMs);
        if (this.#loss === undefined) {
            return this.#enter("reached", nowMs);
        }
        return this.#state === "reached" ? this.#enter("doubted", nowMs) : undefined;
    }

    /** Other gateways are asked. */
    onPeersQueried(nowMs: number): void {
        this.#askedAtMs = nowMs;
    }

    /** @returns whether other gateways are to be asked now */
    isPeerQueryDue(nowMs: number): boolean {
        return this.#state === "doubted"
            || (this.#state === "unreachable" && nowMs - this.#askedAtMs >= peerQueryIntervalMs);
    }

    /** Other gateways were asked. @param reaches - whether any of them reaches the service */
    onPeerQueryResult(reaches: boolean, nowMs: number): ReachabilityChange | undefined {
        return this.#state === "reached" ? undefined : this.#enter(reaches ? "lost" : "unreachable", nowMs);
    }

    /** Servers were asked over new connections. @param heard - whether any of them answered */
    onProbeRound(heard: boolean, nowMs: number): ReachabilityChange | undefined {
        this.#rounds = heard ? this.#rounds + 1 : 0;
        if (this.#state !== "lost" || this.#rounds < this.#wantedRounds) {
            return undefined;
        }
        this.#evidence.clear();
        return this.#enter("reached", nowMs);
    }

    /**
     * Asked for a request that no other gateway can have. Where nothing is heard, one looks for a server from time to time and the
     * others need not wait for what is known; kept connections may still serve where only new ones fail.
     *
     * @returns whether the request may look for a server by itself
     */
    tryAcquireLocalAttempt(nowMs: number): boolean {
        if (this.#state !== "unreachable" || this.#loss?.kind === "newConnections") {
            return true;
        }
        if (nowMs - this.#ownTryAtMs < localAttemptIntervalMs) {
            return false;
        }
        this.#ownTryAtMs = nowMs;
        return true;
    }

    #enter(to: ReachabilityState, nowMs: number): ReachabilityChange | undefined {
        const from = this.#state;
        if (from === to) {
            return undefined;
        }
        const afterMs = nowMs - this.#sinceMs;
        this.#state = to;
        this.#sinceMs = nowMs;
        if (to === "lost") {
            this.#rounds = 0;
            this.#wantedRounds = nowMs - this.#regainedAtMs < relapseWindowMs
                ? Math.min(maxRecoveryRounds, this.#wantedRounds * 2)
                : recoveryRounds;
        }
        if (from === "lost" && to === "reached") {
            this.#regainedAtMs = nowMs;
        }
        return { from, to, linkFailure: to === "reached" ? undefined : this.#loss, afterMs };
    }
}
