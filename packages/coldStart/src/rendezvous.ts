import { type ServerId } from "@galenaglade/routing";

function hash(text: string): number {
    let value = 0x811c9dc5;
    for (let i = 0; i < text.length; i++) {
        value = Math.imul(value ^ text.charCodeAt(i), 0x01000193);
    }
    // FNV's last characters reach the high bits badly, so they are mixed once more before two values are compared.
    value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
    return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Names the one gateway of a roster that a server falls to, by rendezvous hashing.
 *
 * @param members - the gateways, as `name/incarnation`
 * @param serverId - the server
 * @returns the member, or `undefined` where there are none
 */
export function resolveOwner(members: readonly string[], serverId: ServerId): string | undefined {
    let owner: string | undefined;
    let highest = -1;
    for (const member of members) {
        const value = hash(`${member}|${serverId}`);
        if (value > highest || (value === highest && owner !== undefined && member < owner)) {
            highest = value;
            owner = member;
        }
    }
    return owner;
}
