import { type ServerId, type ServerSignal } from "@galenaglade/routing";
import { authorityChangeDelayMs, signalRepeatDurationMs } from "./constants.js";
import { type InheritedRequests } from "./inheritedRequests.js";
import { LeavingTracker } from "./leavingTracker.js";
import { Permit } from "./permit.js";
import { type ServerLimits, ServerState } from "./serverState.js";

/** Work inherited in one stretch of authority over a server. */
export interface WarmUp {
    /** Names the stretch; a new stretch counts anew. */
    readonly authorityId: string;
    readonly inheritedRequests: InheritedRequests;
}

/** All that a gate holds about one server. */
export class GatedServerState {
    readonly state: ServerState;
    readonly permit: Permit;
    readonly leaving = new LeavingTracker();
    /** Whether the server's availability zone is in. */
    isZoneInService = true;
    epochAtZoneOut = 0;
    warmUp: WarmUp | undefined;
    lastRequestedAtMs = Number.NEGATIVE_INFINITY;
    #changedAtMs = Number.NEGATIVE_INFINITY;

    constructor(self: string, serverId: ServerId, limits: ServerLimits) {
        this.state = new ServerState(serverId, limits);
        this.permit = new Permit(self, serverId);
    }

    /** Notes that peers have to be told, for some time. */
    markChanged(nowMs: number): void {
        this.#changedAtMs = nowMs;
    }

    /**
     * A trial waits a little longer than {@link ServerState.isConfirmedWarm}, since a peer that heard late that the server was
     * warm takes it for warm for that much longer.
     */
    mayWarmUp(nowMs: number): boolean {
        const { state } = this;
        return !state.isWarm || nowMs >= state.warmConfirmedAtMs + state.limits.idleMs + authorityChangeDelayMs;
    }

    /**
     * That a server is cold or leaving is told for as long as it lasts: a gateway that hears it while it is cut off
     * from its peers has to pass it on when it is back, however long that takes.
     *
     * @returns what peers should know now
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
            signals.push(this.#coldSignal(ageMs));
        }
        if (state.isWarm && ageMs < signalRepeatDurationMs) {
            signals.push(this.createWarmSignal(nowMs));
        }
        return signals;
    }

    /** @returns the word that the server is warm, as old as the evidence for it */
    createWarmSignal(nowMs: number): ServerSignal {
        const { serverId, epoch, incarnation, warmConfirmedAtMs } = this.state;
        return { serverId, kind: "warm", epoch, incarnation, ageMs: Math.min(nowMs - warmConfirmedAtMs, 1e12) };
    }

    #coldSignal(ageMs: number): ServerSignal {
        const { serverId, epoch, incarnation } = this.state;
        return { serverId, kind: "turnedCold", epoch, incarnation, ageMs };
    }
}
