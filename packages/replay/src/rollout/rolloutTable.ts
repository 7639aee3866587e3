import {
    versionFaults,
    injectedFaults,
    type RolloutSimulationResult,
    type RolloutScenario,
} from "./rolloutScenario.js";
import { RolloutSimulation } from "./rolloutSimulation.js";

/** Settings of a table of simulated rollouts. */
export interface RolloutTableInput {
    /** Number of rollouts for each combination of version fault and injected fault. */
    readonly seeds: number;
    readonly scenario: Omit<RolloutScenario, "seed" | "badness" | "trouble">;
}

/**
 * Simulates rollouts of good and bad versions with each injected fault.
 *
 * @param input - number and size of the rollouts
 * @returns Markdown table with one row for each combination of version fault and injected fault
 */
export function renderRolloutTable({ seeds, scenario }: RolloutTableInput): string {
    const rows = [
        "| version fault | injected fault | completed | rolled back | open | maximum exposed share | median end, s |",
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
