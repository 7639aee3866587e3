import { type GatewayChangeStatus } from "./changeCoordinator.js";
import { type FleetTimings } from "./constants.js";
import { type GatewayIdentity, type Roster } from "./messages.js";
import { hasMajority, listRosterGateways } from "./roster.js";

/** What everybody has to hold. */
export interface AcceptanceTarget {
    readonly revision: number;
    readonly rosterVersion: number;
}

/** What a gateway said when asked. */
export interface VersionReport {
    readonly gateway: GatewayIdentity;
    readonly revision: number;
    readonly rosterVersion: number;
    readonly recentCallers: readonly GatewayIdentity[];
    /** When the call was started. */
    readonly startedAtMs: number;
    readonly answeredAtMs: number;
}

interface Answered {
    readonly newest: VersionReport;
    /** When the first answer came in that showed the target held by this same incarnation. */
    readonly heldSinceMs: number | undefined;
    readonly reached: boolean;
}

/**
 * Finds out when a change is in force: when no gateway can take new work under an older one any more.
 *
 * That is so at once when everybody who may serve holds it, and otherwise a while after a majority of the roster holds
 * it: whoever is out of touch with the store has to hear from a majority to go on, and hears of the change from the
 * gateway that both majorities have in common, or stops when its time has run out.
 */
export class AcceptanceTracker {
    readonly #target: AcceptanceTarget;
    readonly #timings: FleetTimings;
    readonly #answers = new Map<string, Answered>();
    #roster: Roster | undefined;
    #registered: readonly GatewayIdentity[] | undefined;
    #vouchedFor: ReadonlySet<string> = new Set();

    constructor(target: AcceptanceTarget, timings: FleetTimings) {
        this.#target = target;
        this.#timings = timings;
    }

    get target(): AcceptanceTarget {
        return this.#target;
    }

    /**
     * @param roster - read from the store after the change was written
     * @param registered - gateways registered in the store at that time
     * @param vouchedFor - names of gateways that are known to run no more; they count as holding the target
     */
    onSurvey(
        roster: Roster | undefined,
        registered: readonly GatewayIdentity[],
        vouchedFor: ReadonlySet<string> = new Set(),
    ): void {
        this.#roster = roster;
        this.#registered = registered;
        this.#vouchedFor = vouchedFor;
    }

    onVersionReport(answer: VersionReport): void {
        const before = this.#answers.get(answer.gateway.name);
        if (before !== undefined && answer.startedAtMs < before.newest.startedAtMs) {
            return;
        }
        const holds = answer.revision >= this.#target.revision
            && answer.rosterVersion >= this.#target.rosterVersion;
        // A process that was started anew may have lost what its predecessor held, so its time starts again.
        const same = before?.newest.gateway.incarnation === answer.gateway.incarnation;
        const heldBefore = same ? before.heldSinceMs : undefined;
        this.#answers.set(answer.gateway.name, {
            newest: answer,
            heldSinceMs: holds ? heldBefore ?? answer.answeredAtMs : undefined,
            reached: true,
        });
    }

    /** A call of a gateway failed. */
    onCallFailed(name: string): void {
        const before = this.#answers.get(name);
        if (before !== undefined) {
            this.#answers.set(name, { ...before, reached: false });
        }
    }

    /** @returns everybody who may serve, as far as is known: to be asked again and again until the change is in force */
    get gateways(): readonly GatewayIdentity[] {
        const byName = new Map<string, GatewayIdentity>();
        for (const gateway of listRosterGateways(this.#roster)) {
            byName.set(gateway.name, gateway);
        }
        for (const { newest } of this.#answers.values()) {
            for (const caller of newest.recentCallers) {
                byName.set(caller.name, caller);
            }
        }
        // Registrations are the newest word on where a gateway listens.
        for (const gateway of this.#registered ?? []) {
            byName.set(gateway.name, gateway);
        }
        return [...byName.values()];
    }

    isInForce(nowMs: number): boolean {
        return this.isHeldByAll() || this.isMajorityWaitOver(nowMs);
    }

    /** Whether everybody held the target at one and the same time. */
    isHeldByAll(): boolean {
        if (this.#registered === undefined) {
            return false;
        }
        const names = this.gateways.map(gateway => gateway.name);
        let togetherAtMs = 0;
        for (const name of names) {
            const heldSinceMs = this.#answers.get(name)?.heldSinceMs;
            if (heldSinceMs === undefined) {
                return false;
            }
            togetherAtMs = Math.max(togetherAtMs, heldSinceMs);
        }
        const at = togetherAtMs;
        return names.every(name => this.#heldAt(name, at));
    }

    /** Whether a majority has held the target for so long that whoever doesn't has either heard of it or stopped. */
    isMajorityWaitOver(nowMs: number): boolean {
        const heldAtMs = this.#majorityHeldAtMs();
        return heldAtMs !== undefined && nowMs >= heldAtMs + this.#timings.freshForMs + this.#timings.marginMs;
    }

    gatewayStatuses(nowMs: number): readonly GatewayChangeStatus[] {
        const lapsed = this.isMajorityWaitOver(nowMs);
        return this.gateways.map(gateway => {
            const answered = this.#answers.get(gateway.name);
            return { gateway, state: resolveState(answered, lapsed), revision: answered?.newest.revision };
        });
    }

    /**
     * A gateway that said it holds the target may be started anew and learn an older one from others before these hold
     * it; counted by its first answer alone, a majority could be counted that never held the target at one time. So
     * every gateway has to say it again, in a call started after the last of them first said it.
     */
    #heldAt(name: string, atMs: number): boolean {
        const answered = this.#answers.get(name);
        return answered?.heldSinceMs !== undefined
            && answered.heldSinceMs <= atMs
            && answered.newest.startedAtMs >= atMs;
    }

    #majorityHeldAtMs(): number | undefined {
        const roster = this.#roster;
        if (roster === undefined) {
            return undefined;
        }
        const times = [...this.#answers.values()]
            .map(answered => answered.heldSinceMs)
            .filter(time => time !== undefined)
            .sort((a, b) => a - b);
        for (const atMs of times) {
            const names = new Set(this.#vouchedFor);
            for (const name of this.#answers.keys()) {
                if (this.#heldAt(name, atMs)) {
                    names.add(name);
                }
            }
            if (hasMajority(roster, names)) {
                return atMs;
            }
        }
        return undefined;
    }
}

function resolveState(answered: Answered | undefined, lapsed: boolean): GatewayChangeStatus["state"] {
    if (answered?.heldSinceMs !== undefined) {
        return "inForce";
    }
    if (answered?.reached === true) {
        return "behind";
    }
    return lapsed ? "lapsed" : "unreachable";
}
