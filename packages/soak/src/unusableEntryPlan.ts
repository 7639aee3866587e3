import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";
import { type StoreWrite } from "./soakSystem.js";

/** An entry of another writer that names no server. */
export interface PlannedEntry {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly write: StoreWrite;
}

const entriesShare = 0.5;
const maxEntries = 8;
/** Seed multiplier. Decorrelates adjacent seeds, and this plan from the other random choices of a run. */
const seedFactor = 0x165_667b1;

const unusableAddresses = [
    "127.0.0.1:70000",
    "127.0.0.1:0",
    "999.0.0.1:8080",
    "127.0.0.1",
    "localhost:8080",
    "[::1]:8080",
    "127.0.0.1:08080",
    "127.0.0.1:80@",
    "",
];
const unreadableValues = ["", "{", "null", "[]", "\u0000\ufffd", "\"text\""];
const addressPattern = /^\d+(\.\d+){3}:\d+$/;

/**
 * Draws entries that another writer leaves in the store during a run: a sound entry with one field of another type, with
 * an address that is none, or bytes that can't be read.
 *
 * @param seed - seed of the run
 * @param sound - a server's entry
 * @returns the entries; empty for a run without them
 */
export function planUnusableEntries(seed: number, sound: StoreWrite): readonly PlannedEntry[] {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    if (random.next() >= entriesShare) {
        return [];
    }
    return Array.from({ length: 1 + random.nextInt(maxEntries) }, (_, i) => ({
        atMs: random.next() * faultPhaseMs / 2,
        write: { key: `${sound.key}-foreign-${i}`, value: drawValue(random, sound.value) },
    }));
}

function drawValue(random: RandomSource, sound: string): string {
    if (random.next() < 0.2) {
        return pick(random, unreadableValues);
    }
    const isAddress = random.next() < 0.5;
    const document: unknown = JSON.parse(sound);
    const fields = listFields(document).filter(({ value }) => addressPattern.test(String(value)) === isAddress);
    const { owner, name, value } = pick(random, fields);
    owner[name] = isAddress ? pick(random, unusableAddresses) : typeof value === "string" ? 7 : "seven";
    return JSON.stringify(document);
}

interface Field {
    readonly owner: Record<string, unknown>;
    readonly name: string;
    readonly value: unknown;
}

/** @returns all fields that aren't objects, at any depth */
function listFields(document: unknown): readonly Field[] {
    const owner = document as Record<string, unknown>;
    return Object.entries(owner).flatMap(([name, value]) =>
        typeof value === "object" ? listFields(value) : [{ owner, name, value }]
    );
}

function pick<T>(random: RandomSource, choices: readonly T[]): T {
    const choice = choices[random.nextInt(choices.length)];
    if (choice === undefined) {
        throw new Error("there is nothing to choose from");
    }
    return choice;
}
