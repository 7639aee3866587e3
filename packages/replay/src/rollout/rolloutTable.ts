import {
    versionFaults,
    injectedFaults,
    type RolloutSimulationResult,
    type RolloutScenario,
} from "./rolloutScenario.js";
import { RolloutSimulation } from "./rolloutSimulation.js";

/** What a table of roll-outs is made of. */
export interface RolloutTableInput {
    /** Roll-outs of each kind of version with each trouble. */
    readonly seeds: number;
    readonly scenario: Omit<RolloutScenario, "seed" | "badness" | "trouble">;
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
    for (const badness of versionFaults) {
        for (const trouble of injectedFaults) {
            const results = Array.from(
                { length: seeds },
                (_, i) => new RolloutSimulation({ ...scenario, badness, trouble, seed: i + 1 }).run(),
            );
            rows.push(renderRow(badness, trouble, results));
        }
    }
    return rows.join("\n");
}

function renderRow(badness: string, trouble: string, results: readonly RolloutSimulationResult[]): string {
    const count = (stage: string): number => results.filter(({ statuses }) => statuses.at(-1)?.stage === stage).length;
    const completed = count("completed");
    const rolledBack = count("rolledBack");
    const shares = results.map(({ newVersionSends, sends }) => newVersionSends / Math.max(1, sends));
    const ends = results.map(({ endedAtMs }) => endedAtMs ?? Infinity).sort((a, b) => a - b);
    const medianMs = ends[Math.floor(ends.length / 2)] ?? Infinity;
    const exposed = badness === "none" ? "" : Math.max(...shares).toFixed(3);
    return `| ${badness} | ${trouble} | ${completed} | ${rolledBack} | ${
        results.length - completed - rolledBack
    } | ${exposed} | ${(medianMs / 1_000).toFixed(1)} |`;
}
