import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouteTable } from "../index.js";
import { createRoute } from "./builders.js";

const table = createRouteTable([
    createRoute("/"),
    createRoute("/tables/"),
    createRoute("/tables/2026/"),
    createRoute("/tables/", { name: "second", authority: "other.example" }),
]);

function find(authority: string, path: string): string | undefined {
    return table.find(authority, path)?.name;
}

test("the longest matching prefix of the authority wins", () => {
    assert.equal(find("survey.example", "/tables/2026/a"), "/tables/2026/");
    assert.equal(find("survey.example", "/tables/2026"), "/tables/");
    assert.equal(find("survey.example", "/tables/2025/a"), "/tables/");
    assert.equal(find("survey.example", "/tablesque"), "/");
    assert.equal(find("other.example", "/tables/x"), "second");
});

test("the port and the case of the authority are ignored, the case of the path is not", () => {
    assert.equal(find("Survey.Example:8080", "/tables/x"), "/tables/");
    assert.equal(find("survey.example", "/Tables/x"), "/");
});

test("a request that matches no route gets none", () => {
    assert.equal(find("other.example", "/"), undefined);
    assert.equal(find("nobody.example", "/tables/x"), undefined);
});
