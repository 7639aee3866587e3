/** Runs the whole system on loopback, with a process for each part. For usage, run `npm run up -- --help`. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { request } from "undici";
import { parse } from "yaml";
import { type ConfigurationInput } from "@galenaglade/configuration";
import {
    backendResponseSchema,
    backendHeaders,
    Fleet,
    limitBackendServers,
    FleetOperator,
    classifyResponse,
} from "@galenaglade/stand-ins";

const usage = `usage: npm run up -- [--configuration FILE] [--small] [--gateways N] [--once]
    --configuration FILE  configuration to apply; default: playground/lonestat.yaml
    --small               starts only two backend servers of each service
    --gateways N          number of gateways; default: 3
    --once                sends some requests, prints the responses, stops all processes, and exits with 0 or 1`;

const smallPerService = 2;
/** Number of characters to print of a response that isn't from a backend server. */
const shownCharacters = 200;

type ServiceInput = ConfigurationInput["services"][number];

const { values } = parseArgs({
    options: {
        configuration: { type: "string", default: "playground/lonestat.yaml" },
        small: { type: "boolean", default: false },
        gateways: { type: "string", default: "3" },
        once: { type: "boolean", default: false },
        help: { type: "boolean", default: false },
    },
});

if (values.help) {
    console.log(usage);
}
else {
    process.exitCode = await run();
}

async function run(): Promise<number> {
    // Handles signals before the fleet starts, so that an interrupted start leaves no processes running.
    const interrupted = untilInterrupted();
    const declared = parse(readFileSync(values.configuration, "utf8")) as ConfigurationInput;
    const configuration = values.small ? limitBackendServers(declared, smallPerService) : declared;
    const fleet = await Fleet.start({
        configuration,
        gateways: Number(values.gateways),
        admin: true,
        ownProcessGroup: true,
        onProgress: text => console.log(`starting ${text}`),
    });
    let good = true;
    try {
        await applyConfiguration(fleet);
        describe(fleet, configuration);
        if (values.once) {
            good = await sendOnce(fleet, configuration);
        }
        else {
            console.log("Press Ctrl-C to stop all processes");
            await interrupted;
        }
    }
    catch (err) {
        console.error(err);
        good = false;
    }
    console.log("stopping");
    const failed = await fleet.stop();
    for (const name of failed) {
        console.error(`${name}: planned stop did not exit with code 0`);
    }
    return good && failed.length === 0 ? 0 : 1;
}

async function applyConfiguration(fleet: Fleet): Promise<void> {
    const standing = await new FleetOperator(fleet).apply(fleet.configuration);
    console.log(`configuration: revision ${standing?.revision ?? 0}, in force: ${standing?.inForce ?? false}`);
    await fleet.waitUntilReady();
}

function describe(fleet: Fleet, cfg: ConfigurationInput): void {
    console.log(`\nplatform  ${fleet.platformUrl} (PUT /faults, GET /counters)`);
    console.log(`admin     ${fleet.adminUrl}`);
    console.log(`fleet key ${fleet.fleetKey}`);
    console.log(`logs      ${fleet.directory}`);
    for (const gateway of fleet.gateways) {
        const { name, availabilityZone, process: { url }, operationsUrl } = gateway;
        console.log(`${name} ${availabilityZone} ${url} (metrics ${operationsUrl}/metrics)`);
    }
    for (const { service, name, availabilityZone, process: { url } } of fleet.backendServers) {
        console.log(`${service}/${name} ${availabilityZone} ${url} (PUT /faults, GET /counters)`);
    }
    const [service] = cfg.services;
    const authority = service?.authorities[0] ?? "";
    const url = `${fleet.gateways[0]?.process.url ?? ""}${service?.pathPrefix ?? "/"}`;
    console.log(`\ntry: curl -i -H 'host: ${authority}' -H 'x-request-id: mine' ${url}\n`);
}

/**
 * Sends requests with all availability zones in, and again with one taken out.
 *
 * @returns whether all responses and zone changes were as expected
 */
async function sendOnce(fleet: Fleet, cfg: ConfigurationInput): Promise<boolean> {
    let good = await sendToAll(fleet, cfg, undefined);
    const zone = cfg.availabilityZones[0]?.name ?? "";
    const operator = new FleetOperator(fleet);
    const out = await operator.takeZoneOut(zone);
    console.log(`${zone} out: revision ${out?.revision ?? 0}, in force: ${out?.inForce ?? false}`);
    good = await sendToAll(fleet, cfg, zone) && good;
    const back = await operator.bringZoneIn(zone);
    console.log(`${zone} back in: revision ${back?.revision ?? 0}, in force: ${back?.inForce ?? false}`);
    return good && out?.inForce === true && back?.inForce === true;
}

/**
 * Sends one request to each service through each gateway.
 *
 * @returns whether each request got its own complete response, from a zone that isn't taken out
 */
async function sendToAll(fleet: Fleet, cfg: ConfigurationInput, zoneOut: string | undefined): Promise<boolean> {
    let good = true;
    for (const service of cfg.services) {
        for (const gateway of fleet.gateways) {
            const server = await sendOne(gateway.process.url, service);
            const zone = fleet.backendServers.find(candidate => candidate.name === server)?.availabilityZone;
            good &&= zone !== undefined && zone !== zoneOut;
        }
    }
    return good;
}

/** @returns the name of the backend server that sent a complete response, or `undefined` without one */
async function sendOne(gatewayUrl: string, service: ServiceInput): Promise<string | undefined> {
    const requestId = randomUUID();
    const keyed = service.requireIdempotencyKey === true;
    const res = await request(gatewayUrl + (service.pathPrefix ?? "/"), {
        method: keyed ? "POST" : "GET",
        headers: {
            host: service.authorities[0],
            [backendHeaders.requestId]: requestId,
            ...keyed ? { [backendHeaders.idempotencyKey]: requestId } : {},
        },
        body: keyed ? "one" : undefined,
    });
    const text = await res.body.text();
    const bodyDigest = String(res.headers[backendHeaders.bodyDigest] ?? "");
    const outcome = classifyResponse(requestId, { status: res.statusCode, didRun: undefined, bodyDigest, text });
    const server = outcome.type === "whole" ? backendResponseSchema.parse(JSON.parse(text)).server : undefined;
    const shown = server === undefined ? text.slice(0, shownCharacters) : `from ${server}`;
    console.log(`${service.name} by ${gatewayUrl}: ${outcome.type}, status ${res.statusCode}, ${shown}`);
    return server;
}

function untilInterrupted(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGINT", () => resolve());
        process.once("SIGTERM", () => resolve());
    });
}
