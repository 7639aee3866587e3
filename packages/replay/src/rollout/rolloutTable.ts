import { badnesses, rolloutTroubles, type WorldResult, type WorldScenario } from "./rolloutScenario.js";
import { RolloutWorld } from "./rolloutWorld.js";

/** What a table of roll-outs is made of. */
export interface RolloutTableInput {
    /** Roll-outs of each kind of version with each trouble. */
    readonly seeds: number;
    readonly scenario: Omit<WorldScenario, "seed" | "badness" | "trouble">;
}

/**
 * Plays roll-outs of sound and bad versions with each trouble.
 *
 * @param input - how many, and of what size
 * @returns one row for each kind of version and trouble, as Markdown
 */
export function renderRolloutTable({ seeds, scenario }: RolloutTableInput): string {
    const rows = [
        "| version | beside | completed | rolled back | open | most exposed, of the share allowed | median end, s |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ];
    for (const badness of badnesses) {
        for (const trouble of rolloutTroubles) {
            const results = Array.from(
                { length: seeds },
                (_, i) => new RolloutWorld({ ...scenario, badness, trouble, seed: i + 1 }).play(),
            );
            rows.push(renderRow(badness, trouble, results));
        }
    }
    return rows.join("\n");
}

function renderRow(badness: string, trouble: string, results: readonly WorldResult[]): string {
    const count = (stage: string): number => results.filter(({ statuses }) => statuses.at(-1)?.stage === stage).length;
    const completed = count("completed");
    const rolledBack = count("rolledBack");
    const shares = results.map(({ exposed, sends }) => exposed / Math.max(1, sends));
    const ends = results.map(({ endedAtMs }) => endedAtMs ?? Infinity).sort((a, b) => a - b);
    const medianMs = ends[Math.floor(ends.length / 2)] ?? Infinity;
    const exposed = badness === "none" ? "" : Math.max(...shares).toFixed(3);
    return `| ${badness} | ${trouble} | ${completed} | ${rolledBack} | ${
        results.length - completed - rolledBack
    } | ${exposed} | ${(medianMs / 1_000).toFixed(1)} |`;
}
