/** Checks that a schema can't express: names are unique, and every referenced name is declared. */
import * as z from "zod";
import { type DocumentFault } from "./documentFaults.js";
import { defaultCallerKind } from "./resolvePatience.js";

/**
 * Schema of the parts of a document that refer to each other. Parts of the wrong type are treated as absent, so that
 * wrong references and schema violations are reported in the same run.
 */
const text = z.string().optional().catch(undefined);
const integer = z.number().optional().catch(undefined);
const listOf = <S extends z.ZodType>(item: S) => z.array(item).catch([]);
const lenientSchema = z.object({
    timeZone: text,
    availabilityZones: listOf(z.object({ name: text }).catch({})),
    services: listOf(
        z.object({
            name: text,
            authorities: listOf(text),
            pathPrefix: z.string().default("/").catch("/"),
            patience: listOf(z.object({ callerKind: text }).catch({})),
            backendServers: listOf(
                z.object({ name: text, availabilityZone: text, address: text, port: integer }).catch({}),
            ),
        }).catch({ authorities: [], pathPrefix: "/", patience: [], backendServers: [] }),
    ),
}).catch({ availabilityZones: [], services: [] });

type LenientService = z.output<typeof lenientSchema>["services"][number];

/** Detects duplicate declarations. */
class DuplicateDetector {
    readonly #firstLocations = new Map<string, string>();

    /** @returns where the same value was first declared, or `undefined` if this is the first declaration */
    declare(what: string, where: string): string | undefined {
        const before = this.#firstLocations.get(what);
        if (before === undefined) {
            this.#firstLocations.set(what, where);
        }
        return before;
    }
}

/**
 * Finds duplicate names, addresses and routes, and references to undeclared names.
 *
 * @param document - output of a YAML or JSON parser
 * @returns the faults
 */
export function* findReferenceFaults(document: unknown): Iterable<DocumentFault> {
    const cfg = lenientSchema.parse(document);
    if (cfg.timeZone !== undefined && !isTimeZone(cfg.timeZone)) {
        yield { path: ["timeZone"], message: `${cfg.timeZone} is not a known time zone` };
    }
    const zones = new Set<string>();
    for (const [i, { name }] of cfg.availabilityZones.entries()) {
        if (name !== undefined && zones.has(name)) {
            yield { path: ["availabilityZones", i, "name"], message: `availability zone ${name} is declared twice` };
        }
        zones.add(name ?? "");
    }
    const names = new DuplicateDetector();
    const routes = new DuplicateDetector();
    const addresses = new DuplicateDetector();
    for (const [i, service] of cfg.services.entries()) {
        const path = ["services", i];
        if (service.name !== undefined && names.declare(service.name, "") !== undefined) {
            yield { path: [...path, "name"], message: `service ${service.name} is declared twice` };
        }
        yield* findPatienceFaults(service, path);
        yield* findRouteFaults(service, path, routes);
        yield* findBackendServerFaults(service, path, zones, addresses);
    }
}

function* findPatienceFaults(service: LenientService, path: DocumentFault["path"]): Iterable<DocumentFault> {
    if (service.patience.length === 0 || service.patience.some(rule => rule.callerKind === defaultCallerKind)) {
        return;
    }
    yield { path: [...path, "patience"], message: `no rule for the caller kind \`${defaultCallerKind}\`` };
}

/**
 * Two services with the same route are refused, because the order of declaration would decide which one gets the
 * requests.
 */
function* findRouteFaults(
    service: LenientService,
    path: DocumentFault["path"],
    routes: DuplicateDetector,
): Iterable<DocumentFault> {
    for (const [j, authority] of service.authorities.entries()) {
        if (authority === undefined) {
            continue;
        }
        const route = `${authority.toLowerCase()}${service.pathPrefix.replace(/\/+$/, "")}/`;
        const before = routes.declare(route, service.name ?? "?");
        if (before !== undefined) {
            yield {
                path: [...path, "authorities", j],
                message: `${route} is already the route of service ${before}`,
            };
        }
    }
}

function* findBackendServerFaults(
    service: LenientService,
    path: DocumentFault["path"],
    zones: ReadonlySet<string>,
    addresses: DuplicateDetector,
): Iterable<DocumentFault> {
    const names = new DuplicateDetector();
    for (const [j, server] of service.backendServers.entries()) {
        const at = [...path, "backendServers", j];
        if (server.name !== undefined && names.declare(server.name, "") !== undefined) {
            yield { path: [...at, "name"], message: `backend server ${server.name} is declared twice` };
        }
        if (server.availabilityZone !== undefined && !zones.has(server.availabilityZone)) {
            yield {
                path: [...at, "availabilityZone"],
                message: `availability zone ${server.availabilityZone} is not declared; declared: ${
                    [...zones].join(", ")
                }`,
            };
        }
        yield* findAddressFaults(service, server, at, addresses);
    }
}

/**
 * Refuses a server that is declared under two names. It would get twice its slots, cold-start concurrency and probes,
 * which overloads a cold server.
 */
function* findAddressFaults(
    service: LenientService,
    server: LenientService["backendServers"][number],
    path: DocumentFault["path"],
    addresses: DuplicateDetector,
): Iterable<DocumentFault> {
    if (server.address === undefined || server.port === undefined) {
        return;
    }
    const address = `${server.address} port ${server.port}`;
    const before = addresses.declare(address, `${service.name ?? "?"}/${server.name ?? "?"}`);
    if (before !== undefined) {
        yield { path: [...path, "address"], message: `${address} is already declared as ${before}` };
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
