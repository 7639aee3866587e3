import { type ServerId, type ServerSignal } from "@galenaglade/routing";
import { changeoverMs, signalRepeatMs } from "./constants.js";
import { type InheritedWork } from "./inheritedWork.js";
import { Leaving } from "./leaving.js";
import { Permit } from "./permit.js";
import { type ServerLimits, ServerState } from "./serverState.js";

/** Work inherited in one stretch of authority over a server. */
export interface WarmUp {
    /** Names the stretch; a new stretch counts anew. */
    readonly stretch: string;
    readonly inherited: InheritedWork;
}

/** All that a gate holds about one server. */
export class GatedServerState {
    readonly state: ServerState;
    readonly permit: Permit;
    readonly leaving = new Leaving();
    /** Whether the server's availability zone is in. */
    isIn = true;
    epochWhenOut = 0;
    warmUp: WarmUp | undefined;
    wantedAtMs = Number.NEGATIVE_INFINITY;
    #changedAtMs = Number.NEGATIVE_INFINITY;

    constructor(self: string, serverId: ServerId, limits: ServerLimits) {
        this.state = new ServerState(serverId, limits);
        this.permit = new Permit(self, serverId);
    }

    /** Notes that peers have to be told, for some time. */
    noteChange(nowMs: number): void {
        this.#changedAtMs = nowMs;
    }

    /**
     * A trial waits a little longer than {@link ServerState.isFree}, since a peer that heard late that the server was
     * warm takes it for warm for that much longer.
     */
    mayWarmUp(nowMs: number): boolean {
        const { state } = this;
        return !state.isWarm || nowMs >= state.evidenceAtMs + state.limits.idleMs + changeoverMs;
    }

    /**
     * That a server is cold or leaving is told for as long as it lasts: a gateway that hears it while it is cut off
     * from its peers has to pass it on when it is back, however long that takes.
     *
     * @returns what peers should know now
     */
    signals(nowMs: number): readonly ServerSignal[] {
        const signals: ServerSignal[] = [];
        const { state, leaving } = this;
        if (leaving.isLeaving) {
            const ageMs = nowMs - leaving.saidAtMs;
            const { incarnation } = leaving;
            signals.push({ serverId: state.serverId, kind: "leaving", epoch: 0, incarnation, ageMs });
        }
        const ageMs = nowMs - this.#changedAtMs;
        if (!state.isWarm && state.epoch > 0) {
            signals.push(this.#coldSignal(ageMs));
        }
        if (state.isWarm && ageMs < signalRepeatMs) {
            signals.push(this.warmSignal(nowMs));
        }
        return signals;
    }

    /** @returns the word that the server is warm, as old as the evidence for it */
    warmSignal(nowMs: number): ServerSignal {
        const { serverId, epoch, incarnation, evidenceAtMs } = this.state;
        return { serverId, kind: "warm", epoch, incarnation, ageMs: Math.min(nowMs - evidenceAtMs, 1e12) };
    }

    #coldSignal(ageMs: number): ServerSignal {
        const { serverId, epoch, incarnation } = this.state;
        return { serverId, kind: "turnedCold", epoch, incarnation, ageMs };
    }
}
