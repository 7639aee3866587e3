import { listOptions } from "@galenaglade/configuration";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { optionPages, renderOptionPage } from "../options/render.js";

for (const { path, schema } of optionPages) {
    test(`${path} lists every option as the schema has it; npm run options writes it anew`, () => {
        const page = readFileSync(path, "utf8");
        assert.equal(page, renderOptionPage(page, schema));
    });

    test(`every option of ${path} says what it means`, () => {
        const silent = listOptions(schema).filter(({ description }) => description === undefined);
        assert.deepEqual(silent.map(option => option.path), []);
    });
}
