/** Regenerates the option tables of docs/config from the schemas. */
import { readFileSync, writeFileSync } from "node:fs";
import { optionPages, renderOptionPage } from "./options/render.js";

for (const { path, schema } of optionPages) {
    writeFileSync(path, renderOptionPage(readFileSync(path, "utf8"), schema));
}
