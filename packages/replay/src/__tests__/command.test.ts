import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { runCommand } from "../command.js";
import { resolveScenario, runReplay } from "../index.js";

const scenarios = new URL("../../scenarios/", import.meta.url);
const small = `
name: small
durationSeconds: 4
zones: [north, south]
gateways: [{ count: 4, cores: 0.5 }]
services: [{ name: tables, servers: 6, slots: 3, queue: 6 }]
requests:
    - { name: lookup, service: tables, perSecond: 20, workMs: 100, objectiveMs: 400, timeoutMs: 1000, patienceMs: 2000, idempotent: true }
`;

interface Run {
    readonly code: number;
    readonly output: string;
    readonly errors: string;
    readonly written: ReadonlyMap<string, string>;
}

function run(args: readonly string[], files: Readonly<Record<string, string>>): Run {
    let output = "";
    let errors = "";
    const written = new Map<string, string>();
    const code = runCommand(args, {
        readFile: path => {
            const text = files[path];
            if (text === undefined) {
                throw new Error("no such file");
            }
            return text;
        },
        writeFile: (path, text) => written.set(path, text),
        print: text => output += text,
        printError: text => errors += text,
    });
    return { code, output, errors, written };
}

test("every scenario file in the repository is valid", () => {
    for (const name of readdirSync(scenarios)) {
        const resolved = resolveScenario(readFileSync(new URL(name, scenarios), "utf8"));
        assert.ok(resolved.isRight(), `${name}: ${JSON.stringify(resolved.extract())}`);
    }
});

test("the same scenario and seed give the same report, and another seed gives a different one", () => {
    const scenario = resolveScenario(small).unsafeCoerce();
    assert.deepEqual(runReplay(scenario), runReplay(scenario));
    assert.notDeepEqual(runReplay(scenario), runReplay({ ...scenario, seed: 2 }));
});

test("writes a text report, JSON for each seed, and an SVG plot", () => {
    const files = { "small.yaml": small };
    assert.match(run(["small.yaml"], files).output, /small, seed 1: \d+ callers/);
    const { output, written, code } = run(["small.yaml", "--json", "--seeds", "1,2", "--svg", "plot.svg"], files);
    assert.equal(code, 0);
    assert.deepEqual((JSON.parse(output) as { readonly seed: number; }[]).map(({ seed }) => seed), [1, 2]);
    assert.match(written.get("plot.svg") ?? "", /^<svg .*<\/svg>\n$/s);
});

test("--compare runs both variants with the same seeds and prints their results side by side", () => {
    const files = { "small.yaml": small, "variant.yaml": "waitShare: 0.3\n" };
    const { output } = run(["small.yaml", "--seeds", "1,2", "--compare", "variant.yaml"], files);
    assert.deepEqual(output.trim().split("\n").map(line => line.split(" ")[0]), ["seed", "1", "2"]);
});

test("invalid input: prints an error that names the fault, and exits with code 2", () => {
    const files = {
        "small.yaml": small,
        "unknown.yaml": `${small}surprise: 1\n`,
        "noService.yaml": small.replace("service: tables", "service: none"),
        "noPolicy.yaml": "waitShares: 1\n",
    };
    const cases = [
        [[], /expected one scenario file/],
        [["gone.yaml"], /gone.yaml: no such file/],
        [["unknown.yaml"], /unknown.yaml:\d+:\d+.*surprise/s],
        [["noService.yaml"], /unknown service none/],
        [["small.yaml", "--compare", "noPolicy.yaml"], /waitShares/],
        [["small.yaml", "--seeds", "a"], /expected integers from 0 to 4294967295/],
        [["small.yaml", "--what"], /what/],
    ] as const;
    for (const [args, message] of cases) {
        const { code, errors } = run(args, files);
        assert.equal(code, 2);
        assert.match(errors, message);
    }
});
