import { type ServerId } from "@galenaglade/routing";

function hash(text: string): number {
    let value = 0x811c9dc5;
    for (let i = 0; i < text.length; i++) {
        value = Math.imul(value ^ text.charCodeAt(i), 0x01000193);
    }
    // The last characters of an FNV hash hardly affect its high bits, so the value is mixed before it is compared.
    value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
    return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Ranks the gateways of a roster for a server by rendezvous hashing: the first owns the server, the next is its
 * successor.
 *
 * @param members - the gateways, as `name/incarnation`
 * @param serverId - the server
 * @returns the members in an order that is the same on every gateway with this roster
 */
export function rankOwners(members: readonly string[], serverId: ServerId): readonly string[] {
    return members
        .map(member => ({ member, value: hash(`${member}|${serverId}`) }))
        .sort((a, b) => b.value - a.value || (a.member < b.member ? -1 : 1))
        .map(({ member }) => member);
}
