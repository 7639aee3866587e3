import { AcceptanceTracker, type VersionReport } from "./acceptanceTracker.js";
import { type FleetTimings } from "./constants.js";
import { type GatewayIdentity, type Roster } from "./messages.js";
import { listRosterGateways } from "./roster.js";

/** What the store and the platform said about the fleet, in one read each. */
export interface FleetSurvey {
    readonly roster: Roster | undefined;
    /** The store's revision of the roster's key; 0 where it doesn't exist. */
    readonly rosterKeyRevision: number;
    /** Gateways whose lease holds. */
    readonly registered: readonly GatewayIdentity[];
    /** Names of gateways that an operator has vouched for as gone. */
    readonly forgotten: readonly string[];
    /** Names of the platform's hosts, live or leaving; `undefined` where the list couldn't be had. */
    readonly hostNames: readonly string[] | undefined;
    /** The head's revision, read after the roster. */
    readonly headRevision: number;
}

/** A change of the roster, to be written only while its key is as it was read. */
export interface RosterSwap {
    readonly expectedRevision: number;
    readonly roster: Roster;
}

/**
 * Keeps the roster in step with the registrations, in two steps of which each is one compare-and-swap: first old and
 * new members count together, then, once a majority of both knows of that, the new ones alone.
 *
 * Without the first step, a majority that is cut off from the store and serves on could be replaced by new gateways
 * behind its back, and a change would be called in force that it never heard of.
 */
export class RosterReconciler {
    readonly #name: string;
    readonly #timings: FleetTimings;
    readonly #goneSinceMs = new Map<string, number>();
    readonly #seenHosts = new Set<string>();
    #settling: AcceptanceTracker | undefined;
    #wantedSinceMs: number | undefined;

    constructor(name: string, timings: FleetTimings) {
        this.#name = name;
        this.#timings = timings;
    }

    /** Remembers which hosts the platform has shown, also while the store is out of reach. */
    onHostsListed(names: readonly string[]): void {
        for (const name of names) {
            this.#seenHosts.add(name);
        }
    }

    /** Takes a peer's answer, or this gateway's own state, for the change under way. */
    onVersionReport(answer: VersionReport): void {
        this.#settling?.onVersionReport(answer);
    }

    /**
     * @param survey - the newest read
     * @returns a change to write now, or `undefined`
     */
    reconcile(survey: FleetSurvey, nowMs: number): RosterSwap | undefined {
        this.#noteGone(survey, nowMs);
        this.onHostsListed(survey.hostNames ?? []);
        const next = this.#resolveNext(survey, nowMs);
        if (next === undefined) {
            this.#wantedSinceMs = undefined;
            return undefined;
        }
        this.#wantedSinceMs ??= nowMs;
        if (nowMs < this.#wantedSinceMs + this.#turnMs(survey)) {
            return undefined;
        }
        this.#wantedSinceMs = nowMs;
        return { expectedRevision: survey.rosterKeyRevision, roster: next };
    }

    #resolveNext(survey: FleetSurvey, nowMs: number): Roster | undefined {
        const roster = survey.roster;
        if (roster === undefined) {
            return survey.registered.length === 0 ? undefined : { version: 1, members: survey.registered };
        }
        if (roster.previous !== undefined) {
            return this.#resolveSettled(roster, survey, nowMs);
        }
        this.#settling = undefined;
        const members = this.#resolveMembers(roster, survey, nowMs);
        if (members.length === 0 || isSame(members, roster.members)) {
            return undefined;
        }
        return { version: roster.version + 1, members, previous: roster.members };
    }

    #resolveSettled(roster: Roster, survey: FleetSurvey, nowMs: number): Roster | undefined {
        if (this.#settling?.target.rosterVersion !== roster.version) {
            // Whatever was accepted by the old members alone is no newer than the head as read after the change
            // began. Once a majority of the new ones holds that head too, dropping the old ones loses nothing.
            this.#settling = new AcceptanceTracker(
                { revision: survey.headRevision, rosterVersion: roster.version },
                this.#timings,
            );
        }
        this.#settling.onSurvey(roster, survey.registered, this.#vouchedFor(roster, survey));
        // Even when everybody has answered, the wait has to be sat out: a gateway that leaves the roster may have been
        // confirmed as its member just before, and whoever accepts a change afterwards would not ask it.
        if (!this.#settling.isMajorityWaitOver(nowMs)) {
            return undefined;
        }
        return { version: roster.version + 1, members: roster.members };
    }

    #resolveMembers(roster: Roster, survey: FleetSurvey, nowMs: number): readonly GatewayIdentity[] {
        const registered = new Map(survey.registered.map(gateway => [gateway.name, gateway]));
        const vouchedFor = this.#vouchedFor(roster, survey);
        const members = new Map<string, GatewayIdentity>();
        for (const member of roster.members) {
            const goneForMs = nowMs - (this.#goneSinceMs.get(member.name) ?? nowMs);
            if (!vouchedFor.has(member.name) && goneForMs < this.#timings.removeAfterMs) {
                members.set(member.name, member);
            }
        }
        for (const gateway of registered.values()) {
            const member = members.get(gateway.name);
            // A restart is a change: what rests on a majority of the roster has to tell a process that forgot what it
            // had in flight from the one that knew.
            if (member?.incarnation !== gateway.incarnation) {
                members.set(gateway.name, gateway);
            }
        }
        return [...members.values()].sort((a, b) => a.name < b.name ? -1 : 1);
    }

    /** Gateways that can't answer any more: their host is gone, or an operator says that they run nowhere. */
    #vouchedFor(roster: Roster, survey: FleetSurvey): Set<string> {
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
     * The host list lags and may come up short: it is believed only if it shows this gateway's own host, and only of a
     * host that it has shown before. A new host that it doesn't show yet would otherwise be counted as gone while it
     * serves, cut off from the store, and a change would be called in force that it never heard of.
     */
    #isHostGone(name: string, hostNames: readonly string[] | undefined): boolean {
        if (hostNames?.includes(this.#name) !== true) {
            return false;
        }
        return this.#seenHosts.has(name) && !hostNames.includes(name);
    }

    #noteGone(survey: FleetSurvey, nowMs: number): void {
        const registered = new Set(survey.registered.map(gateway => gateway.name));
        for (const { name } of listRosterGateways(survey.roster)) {
            if (registered.has(name)) {
                this.#goneSinceMs.delete(name);
            }
            else if (!this.#goneSinceMs.has(name)) {
                this.#goneSinceMs.set(name, nowMs);
            }
        }
    }

    /** Each registered gateway has its turn to write, so that as a rule only one tries. */
    #turnMs(survey: FleetSurvey): number {
        const names = survey.registered.map(gateway => gateway.name).sort();
        const place = names.indexOf(this.#name);
        const turn = place < 0 ? names.length : place;
        // The first roster waits a turn for the others that start with this gateway. A roster of the quickest one alone
        // would have to agree to the next, and if it were started anew just then without the store, nobody could serve.
        const first = survey.roster === undefined ? 1 : 0;
        return (turn + first) * this.#timings.rosterUpdateStaggerMs;
    }
}

function isSame(a: readonly GatewayIdentity[], b: readonly GatewayIdentity[]): boolean {
    return a.length === b.length
        && a.every(gateway =>
            b.some(other => other.name === gateway.name && other.incarnation === gateway.incarnation)
        );
}
