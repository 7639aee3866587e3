import { listOptions } from "@galenaglade/configuration";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { optionPages, renderOptionPage } from "../options/render.js";

for (const { path, schema } of optionPages) {
    test(`${path} lists all options of its schema; npm run options regenerates it`, () => {
        const page = readFileSync(path, "utf8");
        assert.equal(page, renderOptionPage(page, schema));
    });

    test(`all options of ${path} have a description`, () => {
        const silent = listOptions(schema).filter(({ description }) => description === undefined);
        assert.deepEqual(silent.map(option => option.path), []);
    });
}
