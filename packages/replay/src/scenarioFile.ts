import {
    checkYaml,
    type DeepReadonly,
    type DocumentFault,
    type LocatedFault,
    createSchemaResolver,
} from "@galenaglade/configuration";
import { type PlacementPolicy } from "@galenaglade/placement";
import { type Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { type FleetEvent, type Scenario } from "./world/scenario.js";

const name = z.string().min(1).max(60);
const share = z.number().min(0).max(1);
const seconds = z.number().min(0).max(3_600);
const milliseconds = z.number().min(0).max(600_000);
const perSecond = z.number().min(0).max(100_000);
const factor = z.number().positive().max(1_000);
const count = z.number().int().min(1).max(2_000);

/** Placement settings that a scenario or a variant may override. */
export const policySchema = z.strictObject({
    mostAskedAtOnce: z.number().int().min(1).max(16),
    wantedChance: share,
    sureChance: share,
    sureMs: milliseconds,
    rememberedMs: milliseconds,
    lastResortMs: milliseconds,
    waitShare: share,
    goodFactor: factor,
    tooSlowFactor: factor,
    nearlyFullShare: share,
    nearlyFullFactor: factor,
    subsetServers: count,
    hedgeAfterShare: factor,
}).partial();

const shape = z.strictObject({
    slots: z.number().int().min(1).max(256).describe("requests that a server runs at once"),
    queue: z.number().int().min(0).max(1_000).describe("requests that wait there, at most"),
    kneeShare: share.default(0.8).describe("share of the slots from which on all work there gets slower"),
    kneeFactor: factor.default(1.7).describe("by how much"),
    slowShare: share.default(0.25).describe("share of the servers that is slow at any moment"),
    slowFactor: factor.default(4).describe("by how much"),
    shiftMs: milliseconds.default(300).describe("for how long in turn, on average"),
    coldFactor: factor.default(2).describe("how much longer work takes on a cold server"),
    onFull: z.enum(["refuse", "reset"]).default("refuse").describe("what happens beyond slots and queue"),
});

const at = { at: seconds.describe("seconds from the start of the replay") };
const during = { forSeconds: seconds };
const ofService = { service: name.optional() };

const event = z.discriminatedUnion("type", [
    z.strictObject({ ...at, ...during, type: z.literal("burst"), factor, kind: name.optional() }),
    z.strictObject({ ...at, type: z.literal("restartGateways"), share, downSeconds: seconds }),
    z.strictObject({
        ...at,
        ...ofService,
        type: z.literal("release"),
        share,
        gapSeconds: seconds,
        coldSeconds: seconds.default(3),
    }),
    z.strictObject({ ...at, ...during, type: z.literal("zoneOut"), zone: name, coldSeconds: seconds.default(0) }),
    z.strictObject({ ...at, ...during, ...ofService, type: z.literal("loseServers"), share }),
    z.strictObject({ ...at, ...during, ...ofService, type: z.literal("turnAway"), share, rejects: share }),
    z.strictObject({
        ...at,
        ...during,
        ...ofService,
        type: z.literal("restServers"),
        share,
        restSeconds: seconds,
        heeded: z.boolean().default(true).describe("whether gateways leave such a server alone"),
    }),
    z.strictObject({ ...at, ...during, ...ofService, type: z.literal("slowServers"), share, factor }),
    z.strictObject({ ...at, ...during, ...ofService, type: z.literal("limitServers"), share, perSecond }),
    z.strictObject({ ...at, ...during, type: z.literal("giveUp"), share, afterMs: milliseconds }),
    z.strictObject({ ...at, ...during, type: z.literal("impatience"), share, tries: count }),
    z.strictObject({ ...at, ...during, type: z.literal("moveCallers"), share, from: name, zone: name }),
]);

const request = z.strictObject({
    name,
    service: name,
    perSecond,
    workMs: z.number().positive().max(60_000),
    workSpread: share.default(0.3),
    objectiveMs: z.number().positive().max(600_000),
    timeoutMs: z.number().positive().max(600_000),
    patienceMs: z.number().positive().max(600_000),
    idempotent: z.boolean(),
    priority: z.number().int().min(0).max(100).default(0),
    retries: z.number().int().min(0).max(20).default(1),
});

const costs = z.strictObject({
    requestMs: milliseconds.default(0.5),
    probeMs: milliseconds.default(0.2),
    sendMs: milliseconds.default(0.3),
    answerMs: milliseconds.default(0.4),
    startMs: milliseconds.default(150),
    firstReadMs: milliseconds.default(0),
    coldCodeFactor: factor.default(4),
    coldCodeRequests: z.number().int().min(0).max(10_000).default(10),
    nearMs: milliseconds.default(0.1),
    farMs: milliseconds.default(0.9),
    connectMs: milliseconds.default(1),
});

export const scenarioSchema = z.strictObject({
    name,
    seed: z.number().int().min(0).max(0xffff_ffff).default(1),
    durationSeconds: z.number().positive().max(3_600),
    windowSeconds: z.number().positive().max(600).default(2),
    zones: z.array(name).min(1).max(64),
    gateways: z.array(z.strictObject({ count, cores: z.number().positive().max(64) })).min(1),
    services: z.array(z.strictObject({ name, servers: count, coldPerSecond: perSecond.default(2.4), ...shape.shape }))
        .min(1),
    requests: z.array(request).min(1),
    costs: costs.prefault({}),
    repeats: z.strictObject({
        ratio: z.number().min(0).max(10).default(0.2),
        slack: z.number().min(0).max(1_000_000).default(58),
        windowSeconds: seconds.default(10),
    }).prefault({}),
    probesPerServerAndSecond: z.number().positive().max(100_000).default(60),
    unknownGateways: share.default(0).describe("largest share of the other gateways that a gateway doesn't know of"),
    events: z.array(event).default([]),
    policy: policySchema.default({}),
    holdsAtStart: z.boolean().default(true).describe(
        "whether a starting gateway holds what comes before its first reading",
    ),
});

type ScenarioDocument = DeepReadonly<z.output<typeof scenarioSchema>>;
type EventDocument = ScenarioDocument["events"][number];

const resolveShape = createSchemaResolver(scenarioSchema);
const resolvePolicy = createSchemaResolver(policySchema);

/**
 * Validates a scenario file and applies the defaults.
 *
 * @param text - YAML
 * @returns the frozen scenario, or all faults with their lines
 */
export function resolveScenario(text: string): Either<readonly LocatedFault[], Scenario> {
    return checkYaml(text, document =>
        resolveShape(document).chain(shaped => {
            const faults = findReferenceFaults(shaped);
            return faults.length > 0 ? Left(faults) : Right(Object.freeze(createScenario(shaped)));
        }));
}

/**
 * Validates a file of placement settings for a comparison.
 *
 * @param text - YAML
 * @returns the settings, or all faults with their lines
 */
export function resolvePolicyFile(text: string): Either<readonly LocatedFault[], Partial<PlacementPolicy>> {
    return checkYaml(text, resolvePolicy).map(dropUndefined);
}

function findReferenceFaults({ zones, services, requests, events }: ScenarioDocument): readonly DocumentFault[] {
    const serviceNames = new Set(services.map(each => each.name));
    const faults: DocumentFault[] = [];
    for (const [i, { service }] of requests.entries()) {
        if (!serviceNames.has(service)) {
            faults.push({ path: ["requests", i, "service"], message: `unknown service ${service}` });
        }
    }
    for (const [i, each] of events.entries()) {
        if ("service" in each && each.service !== undefined && !serviceNames.has(each.service)) {
            faults.push({ path: ["events", i, "service"], message: `unknown service ${each.service}` });
        }
        if ("from" in each && !zones.includes(each.from)) {
            faults.push({ path: ["events", i, "from"], message: `unknown zone ${each.from}` });
        }
        if ("zone" in each && !zones.includes(each.zone)) {
            faults.push({ path: ["events", i, "zone"], message: `unknown zone ${each.zone}` });
        }
        if ("kind" in each && each.kind !== undefined && !requests.some(request => request.name === each.kind)) {
            faults.push({ path: ["events", i, "kind"], message: `unknown request kind ${each.kind}` });
        }
    }
    return faults;
}

function createScenario(document: ScenarioDocument): Scenario {
    const { durationSeconds, windowSeconds, services, repeats, events, policy, ...rest } = document;
    return {
        ...rest,
        durationMs: durationSeconds * 1_000,
        windowMs: windowSeconds * 1_000,
        services: services.map(({ name: service, servers, coldPerSecond, ...serverShape }) => ({
            name: service,
            servers,
            coldPerSecond,
            shape: serverShape,
        })),
        repeats: { ratio: repeats.ratio, slack: repeats.slack, windowMs: repeats.windowSeconds * 1_000 },
        events: events.map(createEvent),
        policy: dropUndefined(policy),
        randomPlacement: false,
    };
}

function createEvent(document: EventDocument): FleetEvent {
    const atMs = document.at * 1_000;
    const forMs = "forSeconds" in document ? document.forSeconds * 1_000 : 0;
    switch (document.type) {
        case "restartGateways":
            return { type: document.type, atMs, share: document.share, downMs: document.downSeconds * 1_000 };
        case "release":
            return {
                type: document.type,
                atMs,
                share: document.share,
                service: document.service,
                gapMs: document.gapSeconds * 1_000,
                coldMs: document.coldSeconds * 1_000,
            };
        case "zoneOut":
            return { type: document.type, atMs, forMs, zone: document.zone, coldMs: document.coldSeconds * 1_000 };
        case "burst":
            return { type: document.type, atMs, forMs, factor: document.factor, kind: document.kind };
        case "loseServers":
            return { type: document.type, atMs, forMs, share: document.share, service: document.service };
        case "restServers": {
            const { type, share, restSeconds, heeded, service } = document;
            return { type, atMs, forMs, share, restMs: restSeconds * 1_000, heeded, service };
        }
        case "turnAway":
        case "slowServers":
        case "limitServers":
            return { ...document, atMs, forMs, service: document.service };
        default:
            return { ...document, atMs, forMs };
    }
}

/** Removes undefined settings, which would override the defaults when the objects are merged. */
function dropUndefined(settings: z.output<typeof policySchema>): Partial<PlacementPolicy> {
    const given: Record<string, number> = {};
    for (const [name, value] of Object.entries(settings) as [string, number | undefined][]) {
        if (value !== undefined) {
            given[name] = value;
        }
    }
    return given;
}
