import { commands, exitCodes } from "@galenaglade/cli";
import { errorKinds } from "@galenaglade/errors";
import assert from "node:assert/strict";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { test } from "node:test";

const read = (path: string) => readFileSync(path, "utf8");
/** @returns the code spans in the first column of a page's tables */
const firstCells = (page: string) =>
    [...page.matchAll(/^\| (`[^|]*`) \|/gm)].flatMap(([, cell = ""]) =>
        cell.split(", ").map(code => code.slice(1, -1))
    );

test("the page on commands lists exactly the existing commands", () => {
    const listed = firstCells(read("docs/guide/commands.md"));
    const expected = commands.flatMap(({ name, operands: [first = "", ...rest] }) =>
        first.split("|").map(alternative => [name, alternative, ...rest].filter(word => word !== "").join(" "))
    );
    assert.deepEqual(listed, expected);
});

test("the page on commands lists exactly the existing exit codes", () => {
    const listed = [...read("docs/guide/commands.md").matchAll(/^\| (\d) \|/gm)].map(([, code]) => Number(code));
    assert.deepEqual(listed, Object.values(exitCodes));
});

test("the page on refused work lists only existing error kinds", () => {
    const unknown = firstCells(read("docs/operations/refused-work.md"))
        .filter(kind => !errorKinds.some(known => known === kind));
    assert.deepEqual(unknown, []);
});

test("no link between pages is broken", () => {
    const broken: string[] = [];
    for (const path of findPages()) {
        for (const [, target = ""] of read(path).matchAll(/\]\((?!https?:)([^)#]+)/g)) {
            if (!existsSync(join(dirname(path), target))) {
                broken.push(`${path}: ${target}`);
            }
        }
    }
    assert.deepEqual(broken, []);
});

function findPages(): readonly string[] {
    const entries = readdirSync("docs", { recursive: true, withFileTypes: true });
    const pages = entries.filter(entry => entry.name.endsWith(".md")).map(entry => join(entry.parentPath, entry.name));
    return ["README.md", ...pages];
}
