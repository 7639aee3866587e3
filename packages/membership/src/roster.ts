import { type GatewayIdentity, type Roster } from "./messages.js";

function holdsMajority(members: readonly GatewayIdentity[], names: ReadonlySet<string>): boolean {
    let count = 0;
    for (const member of members) {
        if (names.has(member.name)) {
            count++;
        }
    }
    return count * 2 > members.length;
}

/**
 * Whether some gateways are more than half of the roster. While the roster changes, more than half of both its old and
 * its new members are needed: otherwise two groups without a gateway in common could each count themselves as the
 * majority, one under the old roster and one under the new.
 *
 * @param roster - the roster, perhaps changing
 * @param names - names of the gateways counted
 * @returns `true` for a majority of all that the roster asks for
 */
export function hasMajority(roster: Roster, names: ReadonlySet<string>): boolean {
    if (!holdsMajority(roster.members, names)) {
        return false;
    }
    return roster.previous === undefined || holdsMajority(roster.previous, names);
}

/**
 * Lists everybody that a roster names, old and new.
 *
 * @param roster - the roster; `undefined` where there is none yet
 * @returns each gateway once, as the newer list has it
 */
export function listRosterGateways(roster: Roster | undefined): readonly GatewayIdentity[] {
    const byName = new Map<string, GatewayIdentity>();
    for (const gateway of [...roster?.previous ?? [], ...roster?.members ?? []]) {
        byName.set(gateway.name, gateway);
    }
    return [...byName.values()];
}

/**
 * @param roster - the roster; `undefined` where there is none yet
 * @param name - a gateway's name
 * @returns whether the gateway stays a member when a change under way has ended
 */
export function isMember(roster: Roster | undefined, name: string): boolean {
    return roster?.members.some(member => member.name === name) ?? false;
}
