import murmurHash from "imurmurhash";

/**
 * Selects the owners of a subject among the gateways by rendezvous hashing. Every gateway gets the same result from
 * the same roster without coordination, and a change of the roster moves only what the changed gateway owned.
 *
 * @param subject - what is owned
 * @param names - names of all gateways
 * @param count - number of owners
 * @returns names of the owners, highest weight first
 */
export function findOwners(subject: string, names: readonly string[], count: number): readonly string[] {
    return names
        .map(name => ({ name, weight: murmurHash(`${name}\n${subject}`).result() }))
        .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
        .slice(0, count)
        .map(({ name }) => name);
}
