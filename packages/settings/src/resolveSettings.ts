import { readFileSync, statSync } from "node:fs";
import {
    checkYaml,
    type DeepReadonly,
    type DocumentFault,
    type LocatedFault,
    createSchemaResolver,
} from "@galenaglade/configuration";
import { type Either, Left, Right } from "purify-ts";
import { type z } from "zod";
import { maxFileBytes, minFleetKeyLength } from "./constants.js";
import { type fleetKey } from "./sharedSchemas.js";
import { Secret } from "./secret.js";

/** Reads a whole text file; throws file system errors. */
export type ReadText = (path: string) => string;

/** A settings schema that contains the fleet's key, as {@link resolveSettings} requires. */
export type SettingsSchema = z.ZodType<{ readonly fleetKey: z.output<typeof fleetKey>; }>;

/** Read-only settings with all defaults filled in, and the fleet's key itself in place of its location. */
export type ResolvedSettings<S extends SettingsSchema> =
    & DeepReadonly<Omit<z.output<S>, "fleetKey">>
    & { readonly fleetKey: Secret; };

/**
 * Reads a text file of at most {@link maxFileBytes}.
 *
 * @param path - path of the file
 * @returns the file's text
 * @throws file system errors, or an error if the file is too large
 */
export function readTextFile(path: string): string {
    const { size } = statSync(path);
    if (size > maxFileBytes) {
        throw new Error(`${path} holds ${size} bytes; at most ${maxFileBytes} are read`);
    }
    return readFileSync(path, "utf8");
}

/**
 * Validates settings against a schema and loads the fleet's key.
 *
 * @param text - settings as YAML
 * @param schema - schema of the settings
 * @param readText - reads the fleet key file
 * @returns all faults at once, or the frozen settings
 */
export function resolveSettings<S extends SettingsSchema>(
    text: string,
    schema: S,
    readText: ReadText,
): Either<readonly LocatedFault[], ResolvedSettings<S>> {
    const check = createSchemaResolver(schema);
    return checkYaml(
        text,
        document =>
            check(document).chain(settings =>
                readFleetKey(settings.fleetKey, readText).map(key =>
                    deepFreeze({ ...settings, fleetKey: key }) as unknown as ResolvedSettings<S>
                )
            ),
    );
}

function readFleetKey(
    declared: z.output<typeof fleetKey>,
    readText: ReadText,
): Either<readonly DocumentFault[], Secret> {
    if (declared.value !== undefined) {
        return Right(new Secret(declared.value));
    }
    const path = ["fleetKey", "file"];
    let key: string;
    try {
        key = readText(declared.file ?? "").trim();
    }
    catch (err) {
        return Left([{ path, message: err instanceof Error ? err.message : String(err) }]);
    }
    if (key.length < minFleetKeyLength) {
        return Left([{ path, message: `the key in this file is shorter than ${minFleetKeyLength} characters` }]);
    }
    return Right(new Secret(key));
}

function deepFreeze<T>(value: T): T {
    if (typeof value === "object" && value !== null && !Object.isFrozen(value)) {
        Object.values(value).forEach(deepFreeze);
        Object.freeze(value);
    }
    return value;
}
