import { formatFaults, type LocatedFault } from "@galenaglade/configuration";
import { type PlacementPolicy } from "@galenaglade/placement";
import { type Either, Left, Right } from "purify-ts";
import { parseArgs } from "node:util";
import { type ReplayReport } from "./report/fleetRecorder.js";
import { renderPlot } from "./report/renderPlot.js";
import { renderComparison, renderReport } from "./report/renderReport.js";
import { runReplay } from "./runReplay.js";
import { resolvePolicyFile, resolveScenario } from "./scenarioFile.js";
import { type Scenario } from "./world/scenario.js";

const usage = `usage: npm run replay -- SCENARIO.yaml [options]
    --seeds A,B         seeds to use instead of the scenario's own
    --compare FILE      runs each seed a second time with these placement settings (YAML)
    --json              prints the reports as JSON
    --svg FILE          writes a plot of the last seed's report
    --help`;

const invalidInputExitCode = 2;
const maxSeed = 0xffff_ffff;

/** Files and terminal of a command run. */
export interface CommandIo {
    readonly readFile: (path: string) => string;
    readonly writeFile: (path: string, text: string) => void;
    readonly print: (text: string) => void;
    readonly printError: (text: string) => void;
}

interface CommandInput {
    readonly scenario: Scenario;
    readonly seeds: readonly number[];
    readonly variant: Partial<PlacementPolicy> | undefined;
    readonly json: boolean;
    readonly svg: string | undefined;
}

/**
 * Runs the replay command.
 *
 * @param args - command-line arguments, without the Node executable and the script
 * @param io - files and terminal
 * @returns exit code: 0, or 2 for invalid input
 */
export function runCommand(args: readonly string[], io: CommandIo): number {
    return readInput(args, io).caseOf({
        Left: text => {
            const isHelp = text === usage;
            (isHelp ? io.print : io.printError)(`${text}\n`);
            return isHelp ? 0 : invalidInputExitCode;
        },
        Right: input => {
            runAll(input, io);
            return 0;
        },
    });
}

function runAll({ scenario, seeds, variant, json, svg }: CommandInput, io: CommandIo): void {
    const runs = seeds.map(seed => runVariants({ ...scenario, seed }, variant));
    if (json) {
        io.print(`${JSON.stringify(runs.flat(), undefined, 2)}\n`);
    }
    else if (variant === undefined) {
        runs.flat().forEach(report => io.print(`${renderReport(report)}\n`));
    }
    else {
        io.print(renderComparison(runs.flatMap(([a, b]) => a === undefined || b === undefined ? [] : [[a, b]])));
    }
    const last = runs.at(-1);
    if (svg !== undefined && last !== undefined) {
        io.writeFile(svg, renderPlot(last));
    }
}

function runVariants(scenario: Scenario, variant: Partial<PlacementPolicy> | undefined): readonly ReplayReport[] {
    const baseline = runReplay(scenario);
    return variant === undefined
        ? [baseline]
        : [baseline, runReplay({ ...scenario, policy: { ...scenario.policy, ...variant } })];
}

function readInput(args: readonly string[], io: CommandIo): Either<string, CommandInput> {
    let parsed;
    try {
        parsed = parseArgs({
            args: [...args],
            allowPositionals: true,
            options: {
                seeds: { type: "string" },
                compare: { type: "string" },
                json: { type: "boolean", default: false },
                svg: { type: "string" },
                help: { type: "boolean", default: false },
            },
        });
    }
    catch (err) {
        return Left(`${err instanceof Error ? err.message : String(err)}\n${usage}`);
    }
    const { values, positionals } = parsed;
    const [path, ...others] = positionals;
    if (values.help) {
        return Left(usage);
    }
    if (path === undefined || others.length > 0) {
        return Left(`expected one scenario file\n${usage}`);
    }
    const { compare, json, svg } = values;
    return readChecked(path, resolveScenario, io).chain(scenario =>
        readSeeds(values.seeds, scenario.seed).chain(seeds => {
            const variant: Either<string, Partial<PlacementPolicy> | undefined> = compare === undefined
                ? Right(undefined)
                : readChecked(compare, resolvePolicyFile, io);
            return variant.map(settings => ({ scenario, seeds, variant: settings, json, svg }));
        })
    );
}

function readChecked<T>(
    path: string,
    resolve: (text: string) => Either<readonly LocatedFault[], T>,
    { readFile }: CommandIo,
): Either<string, T> {
    let text: string;
    try {
        text = readFile(path);
    }
    catch (err) {
        return Left(`${path}: ${err instanceof Error ? err.message : String(err)}`);
    }
    return resolve(text).mapLeft(faults => formatFaults(path, faults));
}

function readSeeds(text: string | undefined, defaultSeed: number): Either<string, readonly number[]> {
    if (text === undefined) {
        return Right([defaultSeed]);
    }
    const seeds = text.split(",").map(Number);
    return seeds.every(seed => Number.isInteger(seed) && seed >= 0 && seed <= maxSeed)
        ? Right(seeds)
        : Left(`--seeds ${text}: expected integers from 0 to ${maxSeed}`);
}
