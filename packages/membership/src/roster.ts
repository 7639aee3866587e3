import { type GatewayIdentity, type Roster } from "./messages.js";

function includesMajorityOf(members: readonly GatewayIdentity[], names: ReadonlySet<string>): boolean {
    let count = 0;
    for (const member of members) {
        if (names.has(member.name)) {
            count++;
        }
    }
    return count * 2 > members.length;
}

/**
 * Whether a set of gateways is a majority of the roster. While the roster changes, a majority of both the old and the
 * new members is needed. Otherwise two groups without a gateway in common could each be a majority, one under the old
 * and one under the new roster.
 *
 * @param roster - the roster, possibly with a change in progress
 * @param names - names of the gateways in the set
 * @returns whether all required majorities are in the set
 */
export function hasMajority(roster: Roster, names: ReadonlySet<string>): boolean {
    if (!includesMajorityOf(roster.members, names)) {
        return false;
    }
    return roster.previous === undefined || includesMajorityOf(roster.previous, names);
}

/**
 * Lists all gateways of a roster, with old and new members.
 *
 * @param roster - the roster; `undefined` if there is none yet
 * @returns each gateway once; for those in both lists, the identity of the new one
 */
export function listRosterGateways(roster: Roster | undefined): readonly GatewayIdentity[] {
    const byName = new Map<string, GatewayIdentity>();
    for (const gateway of [...roster?.previous ?? [], ...roster?.members ?? []]) {
        byName.set(gateway.name, gateway);
    }
    return [...byName.values()];
}

/**
 * @param roster - the roster; `undefined` if there is none yet
 * @param name - name of the gateway
 * @returns whether the gateway is a member after any change in progress
 */
export function isMember(roster: Roster | undefined, name: string): boolean {
    return roster?.members.some(member => member.name === name) ?? false;
}
