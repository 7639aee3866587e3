import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { type SoakFleet } from "./soakFleet.js";
import { secretPrefix } from "./workspacePlan.js";

/** @returns one line without the key itself if a text contains callers' keys; otherwise none */
export function findLeakedKeys(name: string, text: string): readonly string[] {
    const count = text.split(secretPrefix).length - 1;
    return count === 0 ? [] : [`keys: ${name} has callers' keys in ${count} places`];
}

/** Searches all files of a run, such as the logs and histories of its processes. */
export function findLeakedKeysInFiles(dir: string): readonly string[] {
    return readdirSync(dir).flatMap(name => findLeakedKeys(name, readFileSync(join(dir, name), "utf8")));
}

/** Searches the gateways' metrics. */
export async function findLeakedKeysInMetrics({ edges }: SoakFleet): Promise<readonly string[]> {
    const texts = await Promise.all(edges.map(async edge => ({ name: edge.name, text: await edge.readMetrics() })));
    return texts.flatMap(({ name, text }) => findLeakedKeys(`${name}'s metrics`, text));
}
