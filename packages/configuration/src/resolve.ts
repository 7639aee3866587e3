import { type Either, Left, Right } from "purify-ts";
import { type Configuration, configurationSchema } from "./model.js";

/** One fault in a document, found by its path. */
export interface ConfigurationFault {
    /** Keys and indexes from the document's root. */
    readonly path: readonly (string | number)[];
    readonly message: string;
}

/**
 * Checks a parsed document and fills in every default.
 *
 * @param document - what a YAML or JSON parser returned
 * @returns all faults at once, or the frozen configuration
 */
export function resolveConfiguration(document: unknown): Either<readonly ConfigurationFault[], Configuration> {
    const parsed = configurationSchema.safeParse(document);
    if (!parsed.success) {
        return Left(parsed.error.issues.map(issue => ({
            path: issue.path.filter(part => typeof part !== "symbol"),
            message: issue.message,
        })));
    }
    const faults = [...findReferenceFaults(parsed.data)];
    if (faults.length > 0) {
        return Left(faults);
    }
    return Right(Object.freeze(parsed.data));
}

/** What a schema can't say: names are unique, and every name that is referred to exists. */
function* findReferenceFaults(cfg: Configuration): Iterable<ConfigurationFault> {
    const zones = new Set<string>();
    for (const [i, zone] of cfg.availabilityZones.entries()) {
        if (zones.has(zone.name)) {
            yield {
                path: ["availabilityZones", i, "name"],
                message: `availability zone ${zone.name} is declared twice`,
            };
        }
        zones.add(zone.name);
    }
    if (!isTimeZone(cfg.timeZone)) {
        yield { path: ["timeZone"], message: `${cfg.timeZone} is not a known time zone` };
    }
    const services = new Set<string>();
    for (const [i, service] of cfg.services.entries()) {
        if (services.has(service.name)) {
            yield { path: ["services", i, "name"], message: `service ${service.name} is declared twice` };
        }
        services.add(service.name);
        if (!service.patience.some(rule => rule.callerKind === "default")) {
            yield { path: ["services", i, "patience"], message: "no rule for the caller kind `default`" };
        }
        const servers = new Set<string>();
        for (const [j, server] of service.backendServers.entries()) {
            if (servers.has(server.name)) {
                yield {
                    path: ["services", i, "backendServers", j, "name"],
                    message: `backend server ${server.name} is declared twice`,
                };
            }
            servers.add(server.name);
            if (!zones.has(server.availabilityZone)) {
                yield {
                    path: ["services", i, "backendServers", j, "availabilityZone"],
                    message: `availability zone ${server.availabilityZone} is not declared; declared: ${
                        [...zones].join(", ")
                    }`,
                };
            }
        }
    }
}

function isTimeZone(timeZone: string): boolean {
    try {
        new Intl.DateTimeFormat("en", { timeZone });
        return true;
    }
    catch {
        return false;
    }
}
