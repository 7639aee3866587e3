import { rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { planFailureBursts } from "./failureBurstPlan.js";
import { planFaults } from "./faultPlan.js";
import { regressionSeeds } from "./regressionSeeds.js";
import { runSoak, type SoakResult } from "./runSoak.js";
import { runStopDrill } from "./stopDrill.js";
import { type SoakSystem } from "./soakSystem.js";

const badArgumentsExitCode = 2;

const usage = `soak [--seed N] [--runs N | --regressions] [--parallel N] [--out DIR]
  --seed         seed of the first run; each further run uses the next one. Default: random
  --runs         number of runs. Default: 1
  --regressions  runs the seeds that found violations before
  --cuts         also partitions gateways from all servers, as drawn from each seed
  --stops        runs stop drills instead: planned stops under callers that pipeline on kept connections
  --failures     instead of other faults, lets all servers fail in bursts and kills gateways between them
  --leaves       also has callers that leave while their requests are outstanding
  --garbled      also has servers that break responses off, begin them again or answer more than once
  --drills       also restores the store from older snapshots, as drawn from each seed
  --parallel     number of concurrent runs; each has 13 processes or more. Default: 1
  --out          directory for histories and logs of runs that found violations
Exit codes: 0 no violations, 1 violations found, 2 invalid arguments.
`;

/**
 * Runs the soak test from the command line.
 *
 * @param system - the system under test
 * @param args - command line arguments
 * @returns the exit code: 0 without violations, 1 with violations, 2 for invalid arguments
 */
export async function runSoakCommand(system: SoakSystem, args: readonly string[]): Promise<number> {
    const options = readOptions(args);
    if (options === undefined) {
        process.stderr.write(usage);
        return badArgumentsExitCode;
    }
    const { seeds, parallel, dir, cuts, drills, leaves, garbled, stops, failures } = options;
    const runs = seeds.length;
    // Each run kills its processes on the exit event, which these signals don't emit by default.
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.once(signal, () => process.exit(1));
    }
    let failed = 0;
    await Promise.all(Array.from({ length: parallel }, async () => {
        for (let next = seeds.shift(); next !== undefined; next = seeds.shift()) {
            const result = stops
                ? await runStopDrill({ system, seed: next, dir })
                : await runSoak({
                    system,
                    seed: next,
                    dir,
                    cuts,
                    drills,
                    leaves,
                    garbled,
                    faults: failures ? planFailureBursts(next) : planFaults(next),
                });
            failed += result.findings.length > 0 ? 1 : 0;
            report(result);
        }
    }));
    process.stdout.write(`${runs - failed} passed, ${failed} failed\n`);
    return failed > 0 ? 1 : 0;
}

function report({ seed, faults, findings, workspaces, rollout, requests, served, dir }: SoakResult): void {
    const kinds = faults.map(({ kind, linkFault }) => kind.endsWith("Link") ? `${kind}.${linkFault}` : kind).join(" ");
    process.stdout.write(
        `seed ${seed}: ${findings.length === 0 ? "held" : "FOUND"}, ${served} of ${requests} served; ${kinds}${
            rollout === undefined ? "" : ` rollout.${rollout}`
        }${workspaces ? " workspaces" : ""}\n`,
    );
    if (findings.length === 0) {
        rmSync(dir, { recursive: true, force: true });
        return;
    }
    for (const finding of findings) {
        process.stdout.write(`  ${finding}\n`);
    }
    process.stdout.write(`  kept in ${dir}\n`);
}

interface CommandOptions {
    readonly seeds: number[];
    readonly parallel: number;
    readonly dir: string;
    readonly cuts: boolean;
    readonly drills: boolean;
    readonly leaves: boolean;
    readonly garbled: boolean;
    readonly stops: boolean;
    readonly failures: boolean;
}

function readOptions(args: readonly string[]): CommandOptions | undefined {
    const drawn = String(Math.floor(Math.random() * 2 ** 31));
    try {
        const { values } = parseArgs({
            args: [...args],
            options: {
                seed: { type: "string", default: drawn },
                runs: { type: "string", default: "1" },
                regressions: { type: "boolean", default: false },
                cuts: { type: "boolean", default: false },
                drills: { type: "boolean", default: false },
                leaves: { type: "boolean", default: false },
                garbled: { type: "boolean", default: false },
                stops: { type: "boolean", default: false },
                failures: { type: "boolean", default: false },
                parallel: { type: "string", default: "1" },
                out: { type: "string", default: join(tmpdir(), "galenaglade-soak") },
            },
        });
        const [seed, runs, parallel] = [Number(values.seed), Number(values.runs), Number(values.parallel)];
        const valid = [seed, runs, parallel].every(Number.isInteger) && seed >= 0 && runs > 0 && parallel > 0;
        const seeds = values.regressions
            ? regressionSeeds.map(each => each.seed)
            : Array.from({ length: runs }, (_, i) => seed + i);
        const { cuts, drills, leaves, garbled, stops, failures } = values;
        return valid
            ? { seeds, parallel, dir: values.out, cuts, drills, leaves, garbled, stops, failures }
            : undefined;
    }
    catch (err) {
        process.stderr.write(`${String(err)}\n`);
        return undefined;
    }
}
