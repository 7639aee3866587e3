import { inquiryPeriodMs, mostRegainRounds, ownTryPeriodMs, regainRounds, relapseMs } from "./constants.js";
import { type Contact, type LossEvidence } from "./contact.js";
import { ContactEvidence } from "./contactEvidence.js";

/** Whether this host reaches the servers of a service. */
export type ReachState =
    /** As far as is known. */
    | "reached"
    /** None has answered lately; other gateways are being asked whether they reach any. */
    | "doubted"
    /** Another gateway reaches them: it is this host's links that fail. */
    | "lost"
    /** No other gateway reaches them either, as far as they were asked. */
    | "unreachable";

/** A change of it, for the log. */
export interface ReachChange {
    readonly from: ReachState;
    readonly to: ReachState;
    /** Why the links are doubted; `undefined` where they are not any more. */
    readonly evidence: LossEvidence | undefined;
    /** How long the state before lasted, in milliseconds. */
    readonly afterMs: number;
}

/**
 * Whether this host reaches one service. What fails here alone speaks against the links, what fails everywhere against the servers: so
 * a loss counts only once another gateway says that it reaches them. It ends when several rounds of checks in a row were answered.
 */
export class ServiceReach {
    readonly #evidence = new ContactEvidence();
    #state: ReachState = "reached";
    #sinceMs = 0;
    #loss: LossEvidence | undefined;
    #rounds = 0;
    #wantedRounds = regainRounds;
    #regainedAtMs = -Infinity;
    #askedAtMs = -Infinity;
    #ownTryAtMs = -Infinity;

    get state(): ReachState {
        return this.#state;
    }

    /** @returns how long ago an exchange began that was answered, in milliseconds; infinite where none was */
    heardAgoMs(nowMs: number): number {
        return nowMs - (this.#evidence.heardAtMs ?? -Infinity);
    }

    /** An exchange with a server has ended. @param countServers - counts those of the service that may be given work */
    onContact(contact: Contact, countServers: () => number, nowMs: number): ReachChange | undefined {
        this.#evidence.onContact(contact);
        if (this.#state === "lost") {
            return undefined;
        }
        this.#loss = this.#evidence.findLoss(countServers, nowMs);
        if (this.#loss === undefined) {
            return this.#enter("reached", nowMs);
        }
        return this.#state === "reached" ? this.#enter("doubted", nowMs) : undefined;
    }

    /** Other gateways are asked. */
    onAsked(nowMs: number): void {
        this.#askedAtMs = nowMs;
    }

    /** @returns whether other gateways are to be asked now */
    isInquiryDue(nowMs: number): boolean {
        return this.#state === "doubted"
            || (this.#state === "unreachable" && nowMs - this.#askedAtMs >= inquiryPeriodMs);
    }

    /** Other gateways were asked. @param reaches - whether any of them reaches the service */
    onInquired(reaches: boolean, nowMs: number): ReachChange | undefined {
        return this.#state === "reached" ? undefined : this.#enter(reaches ? "lost" : "unreachable", nowMs);
    }

    /** Servers were asked over new connections. @param heard - whether any of them answered */
    onChecked(heard: boolean, nowMs: number): ReachChange | undefined {
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
    takeOwnTry(nowMs: number): boolean {
        if (this.#state !== "unreachable" || this.#loss?.kind === "newConnections") {
            return true;
        }
        if (nowMs - this.#ownTryAtMs < ownTryPeriodMs) {
            return false;
        }
        this.#ownTryAtMs = nowMs;
        return true;
    }

    #enter(to: ReachState, nowMs: number): ReachChange | undefined {
        const from = this.#state;
        if (from === to) {
            return undefined;
        }
        const afterMs = nowMs - this.#sinceMs;
        this.#state = to;
        this.#sinceMs = nowMs;
        if (to === "lost") {
            this.#rounds = 0;
            this.#wantedRounds = nowMs - this.#regainedAtMs < relapseMs
                ? Math.min(mostRegainRounds, this.#wantedRounds * 2)
                : regainRounds;
        }
        if (from === "lost" && to === "reached") {
            this.#regainedAtMs = nowMs;
        }
        return { from, to, evidence: to === "reached" ? undefined : this.#loss, afterMs };
    }
}
