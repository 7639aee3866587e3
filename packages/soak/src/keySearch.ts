import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { type SoakWorld } from "./soakWorld.js";
import { keyMark } from "./workspacePlan.js";

/** @returns one line where a text has a caller's key in it, without the key */
export function findKeys(name: string, text: string): readonly string[] {
    const count = text.split(keyMark).length - 1;
    return count === 0 ? [] : [`keys: ${name} has callers' keys in ${count} places`];
}

/** Searches everything that the processes of a run printed or recorded. */
export function findKeysInFiles(dir: string): readonly string[] {
    return readdirSync(dir).flatMap(name => findKeys(name, readFileSync(join(dir, name), "utf8")));
}

/** Searches the gateways' metrics. */
export async function findKeysInMetrics({ edges }: SoakWorld): Promise<readonly string[]> {
    const texts = await Promise.all(edges.map(async edge => ({ name: edge.name, text: await edge.readMetrics() })));
    return texts.flatMap(({ name, text }) => findKeys(`${name}'s metrics`, text));
}
