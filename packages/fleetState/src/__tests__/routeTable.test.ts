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

test("the longest prefix of the authority goes", () => {
    assert.equal(find("survey.example", "/tables/2026/a"), "/tables/2026/");
    assert.equal(find("survey.example", "/tables/2026"), "/tables/");
    assert.equal(find("survey.example", "/tables/2025/a"), "/tables/");
    assert.equal(find("survey.example", "/tablesque"), "/");
    assert.equal(find("other.example", "/tables/x"), "second");
});

test("port and case of the authority don't matter, those of the path do", () => {
    assert.equal(find("Survey.Example:8080", "/tables/x"), "/tables/");
    assert.equal(find("survey.example", "/Tables/x"), "/");
});

test("what no route covers is not found", () => {
    assert.equal(find("other.example", "/"), undefined);
    assert.equal(find("nobody.example", "/tables/x"), undefined);
});
