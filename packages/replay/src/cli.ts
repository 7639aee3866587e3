import { readFileSync, writeFileSync } from "node:fs";
import { runCommand } from "./command.js";

process.exitCode = runCommand(process.argv.slice(2), {
    readFile: path => readFileSync(path, "utf8"),
    writeFile: (path, text) => writeFileSync(path, text),
    print: text => process.stdout.write(text),
    printError: text => process.stderr.write(text),
});
