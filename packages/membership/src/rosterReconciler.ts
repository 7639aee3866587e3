import { AcceptanceTracker, type VersionReport } from "./acceptanceTracker.js";
import { type FleetTimings } from "./constants.js";
import { type GatewayIdentity, type Roster } from "./messages.js";
import { listRosterGateways } from "./roster.js";

/** The fleet's state, as read from the store and from the platform's host list. */
export interface FleetSurvey {
    readonly roster: Roster | undefined;
    /** Store revision of the roster's key; 0 if the key doesn't exist. */
    readonly rosterKeyRevision: number;
    /** Gateways whose lease is valid. */
    readonly registered: readonly GatewayIdentity[];
    /** Names of gateways that an operator has confirmed as ended. */
    readonly forgotten: readonly string[];
    /** Names of the platform's hosts, live or leaving; `undefined` if the list isn't available. */
    readonly hostNames: readonly string[] | undefined;
    /** Revision of the configuration head, read after the roster. */
    readonly headRevision: number;
}

/** A roster to be written by compare-and-swap if its key hasn't changed since it was read. */
export interface RosterSwap {
    readonly expectedRevision: number;
    readonly roster: Roster;
}

/**
 * Reconciles the roster with the registrations by joint consensus, in two steps with one compare-and-swap each. In the
 * first step, decisions need a majority of the old and of the new members. Once a majority of both holds this roster,
 * the second step leaves the new members only.
 *
 * Without the first step, new gateways could replace a majority that is disconnected from the store but still serves. A
 * change that this majority never received would then be declared in force.
 */
export class RosterReconciler {
    readonly #name: string;
    readonly #timings: FleetTimings;
    readonly #missingSinceMs = new Map<string, number>();
    readonly #listedHosts = new Set<string>();
    #changeTracker: AcceptanceTracker | undefined;
    #pendingSinceMs: number | undefined;

    constructor(name: string, timings: FleetTimings) {
        this.#name = name;
        this.#timings = timings;
    }

    /** Records the hosts that the platform has listed, also while the store is unreachable. */
    onHostsListed(names: readonly string[]): void {
        for (const name of names) {
            this.#listedHosts.add(name);
        }
    }

    /** Records the versions held by a peer or by this gateway, for the roster change in progress. */
    onVersionReport(report: VersionReport): void {
        this.#changeTracker?.onVersionReport(report);
    }

    /**
     * @param survey - the latest state of the fleet
     * @returns the roster to write now; `undefined` if none is to be written
     */
    reconcile(survey: FleetSurvey, nowMs: number): RosterSwap | undefined {
        this.#updateMissing(survey, nowMs);
        this.onHostsListed(survey.hostNames ?? []);
        const next = this.#resolveNextRoster(survey, nowMs);
        if (next === undefined) {
            this.#pendingSinceMs = undefined;
            return undefined;
        }
        this.#pendingSinceMs ??= nowMs;
        if (nowMs < this.#pendingSinceMs + this.#writeDelayMs(survey)) {
            return undefined;
        }
        this.#pendingSinceMs = nowMs;
        return { expectedRevision: survey.rosterKeyRevision, roster: next };
    }

    #resolveNextRoster(survey: FleetSurvey, nowMs: number): Roster | undefined {
        const roster = survey.roster;
        if (roster === undefined) {
            return survey.registered.length === 0 ? undefined : { version: 1, members: survey.registered };
        }
        if (roster.previous !== undefined) {
            return this.#resolveFinalRoster(roster, survey, nowMs);
        }
        this.#changeTracker = undefined;
        const members = this.#resolveMembers(roster, survey, nowMs);
        if (members.length === 0 || haveSameProcesses(members, roster.members)) {
            return undefined;
        }
        return { version: roster.version + 1, members, previous: roster.members };
    }

    #resolveFinalRoster(roster: Roster, survey: FleetSurvey, nowMs: number): Roster | undefined {
        if (this.#changeTracker?.target.rosterVersion !== roster.version) {
            // A change that only the old members accepted is no newer than the head that was read after the roster
            // change began. Once a majority of the new members holds this head, no accepted change is lost when the
            // old members are dropped.
            this.#changeTracker = new AcceptanceTracker(
                { revision: survey.headRevision, rosterVersion: roster.version },
                this.#timings,
            );
        }
        this.#changeTracker.onSurvey(roster, survey.registered, this.#findEnded(roster, survey));
        // The wait is needed even if all gateways have responded. A gateway that leaves the roster may just have been
        // confirmed as a member, and it wouldn't be called before a later change is declared in force.
        if (!this.#changeTracker.isMajorityWaitOver(nowMs)) {
            return undefined;
        }
        return { version: roster.version + 1, members: roster.members };
    }

    #resolveMembers(roster: Roster, survey: FleetSurvey, nowMs: number): readonly GatewayIdentity[] {
        const registered = new Map(survey.registered.map(gateway => [gateway.name, gateway]));
        const endedNames = this.#findEnded(roster, survey);
        const members = new Map<string, GatewayIdentity>();
        for (const member of roster.members) {
            const missingForMs = nowMs - (this.#missingSinceMs.get(member.name) ?? nowMs);
            if (!endedNames.has(member.name) && missingForMs < this.#timings.removeAfterMs) {
                members.set(member.name, member);
            }
        }
        for (const gateway of registered.values()) {
            const member = members.get(gateway.name);
            // A restart changes the roster, since decisions by a majority must distinguish a process that lost its
            // requests in flight from its predecessor.
            if (member?.incarnation !== gateway.incarnation) {
                members.set(gateway.name, gateway);
            }
        }
        return [...members.values()].sort((a, b) => a.name < b.name ? -1 : 1);
    }

    /** Unregistered gateways that are known to have ended, since their host is gone or an operator confirmed it. */
    #findEnded(roster: Roster, survey: FleetSurvey): Set<string> {
        const registered = new Set(survey.registered.map(gateway => gateway.name));
        const names = new Set<string>();
        for (const { name } of listRosterGateways(roster)) {
            if (registered.has(name)) {
                continue;
            }
            if (survey.forgotten.includes(name) || this.#isHostGone(name, survey.hostNames)) {
                names.add(name);
            }
        }
        return names;
    }

    /**
     * The host list lags and may be incomplete. A host counts as gone only if it was listed before and if the current
     * list has this gateway's own host. Otherwise a new host that isn't listed yet would count as gone while it serves
     * without the store, and a change that it never received would be declared in force.
     */
    #isHostGone(name: string, hostNames: readonly string[] | undefined): boolean {
        if (hostNames?.includes(this.#name) !== true) {
            return false;
        }
        return this.#listedHosts.has(name) && !hostNames.includes(name);
    }

    #updateMissing(survey: FleetSurvey, nowMs: number): void {
        const registered = new Set(survey.registered.map(gateway => gateway.name));
        for (const { name } of listRosterGateways(survey.roster)) {
            if (registered.has(name)) {
                this.#missingSinceMs.delete(name);
            }
            else if (!this.#missingSinceMs.has(name)) {
                this.#missingSinceMs.set(name, nowMs);
            }
        }
    }

    /** Delay before this gateway writes. It increases with the rank by name, so that usually only one gateway does. */
    #writeDelayMs(survey: FleetSurvey): number {
        const names = survey.registered.map(gateway => gateway.name).sort();
        const index = names.indexOf(this.#name);
        const rank = index < 0 ? names.length : index;
        // The first roster is delayed by one more step, to include gateways that start at the same time. If it had only
        // the fastest gateway, the next roster would need that gateway's consent: if the gateway then restarted while
        // the store is down, no gateway could serve.
        const initialSteps = survey.roster === undefined ? 1 : 0;
        return (rank + initialSteps) * this.#timings.rosterUpdateStaggerMs;
    }
}

function haveSameProcesses(a: readonly GatewayIdentity[], b: readonly GatewayIdentity[]): boolean {
    return a.length === b.length
        && a.every(gateway =>
            b.some(other => other.name === gateway.name && other.incarnation === gateway.incarnation)
        );
}
