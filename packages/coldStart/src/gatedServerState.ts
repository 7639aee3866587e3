import { type ServerId, type ServerSignal } from "@galenaglade/routing";
import { authorityChangeDelayMs, signalRepeatDurationMs } from "./constants.js";
import { type InheritedRequests } from "./inheritedRequests.js";
import { LeavingTracker } from "./leavingTracker.js";
import { Permit } from "./permit.js";
import { type ServerLimits, ServerState } from "./serverState.js";

/** One period of authority to warm up a server, with the requests inherited in it. */
export interface WarmUp {
    /** Identifies the period; a new period recounts the inherited requests. */
    readonly authorityId: string;
    readonly inheritedRequests: InheritedRequests;
}

/** State that a gate keeps for one server. */
export class GatedServerState {
    readonly state: ServerState;
    readonly permit: Permit;
    readonly leaving = new LeavingTracker();
    /** Whether the server's availability zone is in service. */
    isZoneInService = true;
    epochAtZoneOut = 0;
    warmUp: WarmUp | undefined;
    lastRequestedAtMs = Number.NEGATIVE_INFINITY;
    #changedAtMs = Number.NEGATIVE_INFINITY;

    constructor(self: string, serverId: ServerId, limits: ServerLimits) {
        this.state = new ServerState(serverId, limits);
        this.permit = new Permit(self, serverId);
    }

    /** Records a change, which is signalled to peers for {@link signalRepeatDurationMs}. */
    markChanged(nowMs: number): void {
        this.#changedAtMs = nowMs;
    }

    /**
     * A trial waits longer than {@link ServerState.isConfirmedWarm} lasts, since a peer that learned late that the
     * server was warm considers it warm for that much longer.
     */
    mayWarmUp(nowMs: number): boolean {
        const { state } = this;
        return !state.isWarm || nowMs >= state.warmConfirmedAtMs + state.limits.idleMs + authorityChangeDelayMs;
    }

    /**
     * Signals that a server is cold or leaving are repeated for as long as it is: a gateway that learns of it while
     * disconnected from its peers must forward it once reconnected, however long that takes.
     *
     * @returns the signals to send to peers now
     */
    createSignals(nowMs: number): readonly ServerSignal[] {
        const signals: ServerSignal[] = [];
        const { state, leaving } = this;
        if (leaving.isLeaving) {
            const ageMs = nowMs - leaving.reportedAtMs;
            const { incarnation } = leaving;
            signals.push({ serverId: state.serverId, kind: "leaving", epoch: 0, incarnation, ageMs });
        }
        const ageMs = nowMs - this.#changedAtMs;
        if (!state.isWarm && state.epoch > 0) {
            signals.push(this.#createColdSignal(ageMs));
        }
        if (state.isWarm && ageMs < signalRepeatDurationMs) {
            signals.push(this.createWarmSignal(nowMs));
        }
        return signals;
    }

    /** @returns a signal that the server is warm, with the age of the last response that confirmed it */
    createWarmSignal(nowMs: number): ServerSignal {
        const { serverId, epoch, incarnation, warmConfirmedAtMs } = this.state;
        return { serverId, kind: "warm", epoch, incarnation, ageMs: Math.min(nowMs - warmConfirmedAtMs, 1e12) };
    }

    #createColdSignal(ageMs: number): ServerSignal {
        const { serverId, epoch, incarnation } = this.state;
        return { serverId, kind: "turnedCold", epoch, incarnation, ageMs };
    }
}
