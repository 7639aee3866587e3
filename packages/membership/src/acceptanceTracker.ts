import { type GatewayChangeStatus } from "./changeCoordinator.js";
import { type FleetTimings } from "./constants.js";
import { type GatewayIdentity, type Roster } from "./messages.js";
import { hasMajority, listRosterGateways } from "./roster.js";

/** Minimum revision and roster version that the gateways must hold. */
export interface AcceptanceTarget {
    readonly revision: number;
    readonly rosterVersion: number;
}

/** Versions that a gateway reported in its response to a call. */
export interface VersionReport {
    readonly gateway: GatewayIdentity;
    readonly revision: number;
    readonly rosterVersion: number;
    readonly recentCallers: readonly GatewayIdentity[];
    /** Start of the call, in milliseconds on the monotonic clock. */
    readonly startedAtMs: number;
    /** Arrival of the response, in milliseconds on the monotonic clock. */
    readonly answeredAtMs: number;
}

interface GatewayReports {
    readonly latest: VersionReport;
    /** Arrival of this incarnation's first response with the target; `undefined` if it doesn't hold the target. */
    readonly heldSinceMs: number | undefined;
    /** Whether the latest call succeeded. */
    readonly reached: boolean;
}

/**
 * Determines when a change is in force: from then on no gateway can accept new work under an older revision.
 *
 * A change is in force as soon as every gateway that may accept work holds it. Otherwise it is in force once a majority
 * of the roster has held it for the maximum freshness plus a margin: a gateway without the store needs responses from a
 * majority to continue. Either it learns of the change from the gateway that both majorities have in common, or its
 * freshness expires and it stops.
 */
export class AcceptanceTracker {
    readonly #target: AcceptanceTarget;
    readonly #timings: FleetTimings;
    readonly #reports = new Map<string, GatewayReports>();
    #roster: Roster | undefined;
    #registered: readonly GatewayIdentity[] | undefined;
    #endedNames: ReadonlySet<string> = new Set();

    constructor(target: AcceptanceTarget, timings: FleetTimings) {
        this.#target = target;
        this.#timings = timings;
    }

    get target(): AcceptanceTarget {
        return this.#target;
    }

    /**
     * @param roster - roster read from the store after the change was written
     * @param registered - gateways that were registered in the store at that time
     * @param endedNames - names of gateways that are known to have ended; they count as holding the target
     */
    onSurvey(
        roster: Roster | undefined,
        registered: readonly GatewayIdentity[],
        endedNames: ReadonlySet<string> = new Set(),
    ): void {
        this.#roster = roster;
        this.#registered = registered;
        this.#endedNames = endedNames;
    }

    onVersionReport(report: VersionReport): void {
        const previous = this.#reports.get(report.gateway.name);
        if (previous !== undefined && report.startedAtMs < previous.latest.startedAtMs) {
            return;
        }
        const holdsTarget = report.revision >= this.#target.revision
            && report.rosterVersion >= this.#target.rosterVersion;
        // A restarted process may have lost the state of its predecessor, so its time starts again.
        const isSameIncarnation = previous?.latest.gateway.incarnation === report.gateway.incarnation;
        const previousHeldSinceMs = isSameIncarnation ? previous.heldSinceMs : undefined;
        this.#reports.set(report.gateway.name, {
            latest: report,
            heldSinceMs: holdsTarget ? previousHeldSinceMs ?? report.answeredAtMs : undefined,
            reached: true,
        });
    }

    /** Records that a call to a gateway failed. */
    onCallFailed(name: string): void {
        const previous = this.#reports.get(name);
        if (previous !== undefined) {
            this.#reports.set(name, { ...previous, reached: false });
        }
    }

    /** All known gateways that may accept work. They are to be called repeatedly until the change is in force. */
    get gateways(): readonly GatewayIdentity[] {
        const byName = new Map<string, GatewayIdentity>();
        for (const gateway of listRosterGateways(this.#roster)) {
            byName.set(gateway.name, gateway);
        }
        for (const { latest } of this.#reports.values()) {
            for (const caller of latest.recentCallers) {
                byName.set(caller.name, caller);
            }
        }
        // Registrations have the most recent peer addresses.
        for (const gateway of this.#registered ?? []) {
            byName.set(gateway.name, gateway);
        }
        return [...byName.values()];
    }

    isInForce(nowMs: number): boolean {
        return this.isHeldByAll() || this.isMajorityWaitOver(nowMs);
    }

    /** Whether all gateways held the target at the same time. */
    isHeldByAll(): boolean {
        if (this.#registered === undefined) {
            return false;
        }
        const names = this.gateways.map(gateway => gateway.name);
        let heldByAllSinceMs = 0;
        for (const name of names) {
            const heldSinceMs = this.#reports.get(name)?.heldSinceMs;
            if (heldSinceMs === undefined) {
                return false;
            }
            heldByAllSinceMs = Math.max(heldByAllSinceMs, heldSinceMs);
        }
        const at = heldByAllSinceMs;
        return names.every(name => this.#isHeldAt(name, at));
    }

    /**
     * Whether a majority has held the target for so long that every other gateway has either learned of it or stopped
     * accepting work.
     */
    isMajorityWaitOver(nowMs: number): boolean {
        const heldAtMs = this.#majorityHeldAtMs();
        return heldAtMs !== undefined && nowMs >= heldAtMs + this.#timings.freshForMs + this.#timings.marginMs;
    }

    gatewayStatuses(nowMs: number): readonly GatewayChangeStatus[] {
        const lapsed = this.isMajorityWaitOver(nowMs);
        return this.gateways.map(gateway => {
            const reports = this.#reports.get(gateway.name);
            return { gateway, state: resolveState(reports, lapsed), revision: reports?.latest.revision };
        });
    }

    /**
     * Whether a gateway is known to have held the target at a time. A gateway that reported the target may restart and
     * learn an older revision from peers that don't hold the target yet. If its first response were enough, a majority
     * could be counted that never held the target at the same time. So each gateway must report it again, in a call
     * that started at this time or later.
     */
    #isHeldAt(name: string, atMs: number): boolean {
        const reports = this.#reports.get(name);
        return reports?.heldSinceMs !== undefined
            && reports.heldSinceMs <= atMs
            && reports.latest.startedAtMs >= atMs;
    }

    #majorityHeldAtMs(): number | undefined {
        const roster = this.#roster;
        if (roster === undefined) {
            return undefined;
        }
        const heldTimesMs = [...this.#reports.values()]
            .map(reports => reports.heldSinceMs)
            .filter(timeMs => timeMs !== undefined)
            .sort((a, b) => a - b);
        for (const atMs of heldTimesMs) {
            const names = new Set(this.#endedNames);
            for (const name of this.#reports.keys()) {
                if (this.#isHeldAt(name, atMs)) {
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

function resolveState(reports: GatewayReports | undefined, lapsed: boolean): GatewayChangeStatus["state"] {
    if (reports?.heldSinceMs !== undefined) {
        return "inForce";
    }
    if (reports?.reached === true) {
        return "behind";
    }
    return lapsed ? "lapsed" : "unreachable";
}
