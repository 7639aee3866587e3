import { configurationSchema } from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type ConfigurationHead, type GatewayIdentity, type Roster } from "@galenaglade/membership";
import { type KeyValue } from "@galenaglade/platform";
import { type Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { identitySchema, rosterSchema } from "./wireSchemas.js";

const headSchema: z.ZodType<ConfigurationHead> = z.object({
    revision: z.number().int().min(1),
    changeId: z.string(),
    configuration: configurationSchema,
    recentChanges: z.array(z.object({ changeId: z.string(), revision: z.number().int() })),
});

function parse<T>(schema: z.ZodType<T>, entry: KeyValue): Either<Failure, T> {
    let document: unknown;
    try {
        document = JSON.parse(entry.value);
    }
    catch {
        return Left(createFailure("internal", `the store's value of ${entry.key} is not JSON`));
    }
    const parsed = schema.safeParse(document);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        const where = issue?.path.join(".") ?? "";
        return Left(createFailure("internal", `the store's value of ${entry.key} is not valid at ${where}`));
    }
    return Right(parsed.data);
}

/** @returns the head, `undefined` if none has been written yet, or a failure if the value is invalid */
export function parseHead(entry: KeyValue | undefined): Either<Failure, ConfigurationHead | undefined> {
    return entry === undefined ? Right(undefined) : parse(headSchema, entry);
}

/** @returns the roster, `undefined` if there is none yet, or a failure if the value is invalid */
export function parseRoster(entry: KeyValue | undefined): Either<Failure, Roster | undefined> {
    return entry === undefined ? Right(undefined) : parse(rosterSchema, entry);
}

/** @returns the gateway's identity, or a failure if the value is invalid */
export function parseIdentity(entry: KeyValue): Either<Failure, GatewayIdentity> {
    return parse(identitySchema, entry);
}
