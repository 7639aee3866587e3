import { type FleetConfiguration, type Route } from "@galenaglade/fleet-state";
import { stringify } from "yaml";
import {
    maxProbesPerServerAndSecond,
    coldRequestsPerSecond,
    bulkObjectiveMs,
    bulkTimeoutMs,
    exposureShare,
    stopGraceMs,
    objectiveMs,
    repeatRatio,
    repeatSlack,
    repeatWindowMs,
    routeTimeoutMs,
    services,
    minLeaseSeconds,
} from "./constants.js";
import { type SoakWorkspace } from "./workspacePlan.js";

/** Authority of all routes of a run. */
export const authority = "soak.example";

/** Names of the routes that callers send to. */
export type SoakRoute = "read" | "file" | "moving" | "open" | "large" | "bulk";

/** Path prefix of each route. */
export const routePathPrefixes: Readonly<Record<SoakRoute, string>> = Object.freeze({
    read: "/tables/read/",
    file: "/returns/file/",
    moving: "/moving/",
    open: "/tables/open/",
    large: "/tables/large/",
    bulk: "/tables/bulk/",
});

/** @returns the service of a route in a configuration version; the moving route's service changes with each version */
export function resolveRouteService(route: SoakRoute, version: number): string {
    switch (route) {
        case "read":
        case "open":
        case "large":
        case "bulk":
            return services[0];
        case "file":
            return services[1];
        case "moving":
            return services[version % services.length] ?? services[0];
    }
}

/**
 * Creates a version of the operator's configuration.
 *
 * @param workspaces - `undefined` if callers need no keys; omits the open route and the one with large responses
 * @returns the configuration
 */
export function createSoakConfiguration(
    version: number,
    workspaces?: readonly SoakWorkspace[],
): FleetConfiguration {
    const keyedRoutes: readonly Route[] = [
        { ...createRoute("open", version, true), open: true },
        { ...createRoute("large", version, true), largeAnswers: true },
    ];
    return {
        version,
        routes: [
            createRoute("read", version, true),
            createRoute("file", version, false),
            createRoute("moving", version, true),
            { ...createRoute("bulk", version, true), timeoutMs: bulkTimeoutMs, objectiveMs: bulkObjectiveMs },
            ...workspaces === undefined ? [] : keyedRoutes,
        ],
        workspaces: workspaces?.map(({ name, keys, priority, limit }) => ({
            name,
            keys: keys.map(({ secret }) => secret),
            priority,
            limit,
        })),
        services: services.map(name => ({
            name,
            healthPath: "/health",
            maximumConnections: 220,
            coldRequestsPerSecond,
        })),
        limits: {
            maximumHeaderBytes: 16_384,
            maximumBodyBytes: 16_777_216,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: 15_000,
        },
    };
}

function createRoute(name: SoakRoute, version: number, idempotent: boolean): Route {
    return {
        name,
        authority,
        pathPrefix: routePathPrefixes[name],
        idempotent,
        maximumRuns: 2,
        timeoutMs: routeTimeoutMs,
        objectiveMs,
        priority: 1,
        destinations: [{ service: resolveRouteService(name, version), weight: 1 }],
    };
}

/** Ports on which an edge process listens. */
export interface EdgePorts {
    readonly callers: number;
    readonly readiness: number;
    readonly peers: number;
    readonly metrics: number;
}

/**
 * @param sourceAddress - IP address from which the process connects to backend servers
 * @returns the settings file of an edge process, as YAML
 */
export function renderEdgeSettings(
    name: string,
    availabilityZone: string,
    ports: EdgePorts,
    storePort: number,
    sourceAddress: string,
    graceMs = stopGraceMs,
): string {
    return stringify({
        name,
        availabilityZone,
        listen: {
            callers: `127.0.0.1:${ports.callers}`,
            readiness: `127.0.0.1:${ports.readiness}`,
            peers: `127.0.0.1:${ports.peers}`,
            metrics: `127.0.0.1:${ports.metrics}`,
        },
        servers: { connectFrom: sourceAddress },
        store: { address: `127.0.0.1:${storePort}`, shortestLeaseSeconds: minLeaseSeconds },
        stopping: { graceSeconds: graceMs / 1_000 },
        repeats: { ratio: repeatRatio, slack: repeatSlack, windowSeconds: repeatWindowMs / 1_000 },
        asking: { perServerAndSecond: maxProbesPerServerAndSecond },
        rollouts: { exposureShare },
    });
}
