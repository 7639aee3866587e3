import { minFleetKeyLength, readTextFile, Secret } from "@galenaglade/settings";
import { type Either, Left, Right } from "purify-ts";
import { parseArgs } from "node:util";
import { type Command } from "./command.js";
import { environmentVariables } from "./constants.js";

/** The parsed and validated command line. */
export interface CommandLine {
    readonly command: Command;
    readonly operands: readonly string[];
    readonly help: boolean;
    readonly json: boolean;
    readonly expectedRevision: number | undefined;
    readonly changeId: string | undefined;
    readonly isConfirmed: boolean;
    /** URLs of admin servers; empty if the command makes no calls. */
    readonly addresses: readonly string[];
    readonly fleetKey: Secret | undefined;
}

/** Environment variables of the process. */
export type Environment = Readonly<Record<string, string | undefined>>;

/**
 * Parses and validates a command line.
 *
 * @param command - the command to run
 * @param args - arguments after the command's name
 * @param env - environment variables
 * @returns the command line, or human-readable messages for all errors in it
 */
export function parseCommandLine(
    command: Command,
    args: readonly string[],
    env: Environment,
): Either<readonly string[], CommandLine> {
    const parsed = parseOptions(command, args);
    if (typeof parsed === "string") {
        return Left([parsed]);
    }
    const { values, positionals } = parsed;
    if (values.help === true) {
        return Right({ ...emptyCommandLine, command, help: true });
    }
    const faults: string[] = [];
    if (!matchesOperandCount(positionals.length, command.operands)) {
        faults.push(`${command.name}: expected ${command.operands.join(" ") || "no operands"}`);
    }
    const expectedRevision = parseRevision(values["expected-revision"], faults);
    const changeId = checkChangeId(values["change-id"], faults);
    const addresses = command.usesAdmin ? findAddresses(values.admin, env, faults) : [];
    const fleetKey = command.usesAdmin ? findFleetKey(values["key-file"], env, faults) : undefined;
    if (faults.length > 0) {
        return Left(faults);
    }
    const json = values.json === true;
    return Right({
        command,
        operands: positionals,
        help: false,
        json,
        expectedRevision,
        changeId,
        isConfirmed: values.yes === true,
        addresses,
        fleetKey,
    });
}

/** A last operand that ends with `...` accepts one or more values. */
function matchesOperandCount(given: number, operands: readonly string[]): boolean {
    return operands.at(-1)?.endsWith("...") === true ? given >= operands.length : given === operands.length;
}

const emptyCommandLine = {
    operands: [],
    json: false,
    expectedRevision: undefined,
    changeId: undefined,
    isConfirmed: false,
    addresses: [],
    fleetKey: undefined,
};

function parseOptions(command: Command, args: readonly string[]) {
    const allowed = new Set<string>(command.options.map(({ name }) => name));
    try {
        const parsed = parseArgs({
            args: [...args],
            allowPositionals: true,
            options: {
                "help": { type: "boolean", short: "h" },
                "json": { type: "boolean" },
                "admin": { type: "string", multiple: true },
                "key-file": { type: "string" },
                "expected-revision": { type: "string" },
                "change-id": { type: "string" },
                "yes": { type: "boolean" },
            },
        });
        for (const name of ["expected-revision", "change-id", "yes"] as const) {
            if (parsed.values[name] !== undefined && !allowed.has(name)) {
                return `${command.name}: unknown option --${name}`;
            }
        }
        return parsed;
    }
    catch (err) {
        return err instanceof Error ? err.message : String(err);
    }
}

function parseRevision(text: string | undefined, faults: string[]): number | undefined {
    if (text === undefined) {
        return undefined;
    }
    if (!/^\d{1,9}$/.test(text)) {
        faults.push("--expected-revision: expected a whole number");
    }
    return Number(text);
}

function checkChangeId(text: string | undefined, faults: string[]): string | undefined {
    if (text !== undefined && !/^[A-Za-z0-9._-]{1,64}$/.test(text)) {
        faults.push("--change-id: expected 1 to 64 letters, digits and ._-");
    }
    return text;
}

function findAddresses(given: readonly string[] | undefined, env: Environment, faults: string[]): readonly string[] {
    const addresses = given ?? env[environmentVariables.admin]?.split(",") ?? [];
    if (addresses.length === 0) {
        faults.push(`--admin: missing, and ${environmentVariables.admin} is not set`);
    }
    for (const address of addresses) {
        if (!/^https?:\/\/[^/?#]+\/?$/.test(address) || !URL.canParse(address)) {
            faults.push(`--admin ${address}: expected a URL such as http://10.0.0.4:7500`);
        }
    }
    return addresses;
}

function findFleetKey(given: string | undefined, env: Environment, faults: string[]): Secret | undefined {
    const file = given ?? env[environmentVariables.keyFile];
    if (file === undefined) {
        faults.push(`--key-file: missing, and ${environmentVariables.keyFile} is not set`);
        return undefined;
    }
    try {
        const key = readTextFile(file).trim();
        if (key.length >= minFleetKeyLength) {
            return new Secret(key);
        }
        faults.push(`--key-file ${file}: the key is shorter than ${minFleetKeyLength} characters`);
    }
    catch (err) {
        faults.push(`--key-file ${file}: ${err instanceof Error ? err.message : String(err)}`);
    }
    return undefined;
}
