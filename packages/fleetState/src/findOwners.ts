import murmurHash from "imurmurhash";

/**
 * Chooses the owners of something among the gateways by rendezvous hashing. Every gateway finds the same ones from the
 * same roster without a message, and a change of the roster moves only what the changed gateway owned.
 *
 * @param subject - what is owned
 * @param names - all gateways
 * @param count - how many owners
 * @returns their names, best first
 */
export function findOwners(subject: string, names: readonly string[], count: number): readonly string[] {
    return names
        .map(name => ({ name, weight: murmurHash(`${name}\n${subject}`).result() }))
        .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
        .slice(0, count)
        .map(({ name }) => name);
}
