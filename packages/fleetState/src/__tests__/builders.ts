import { type FleetConfiguration, type RegisteredServer, type Route, type StateItem } from "../index.js";

export function createServer(id: string, more: Partial<RegisteredServer> = {}): RegisteredServer {
    return {
        id,
        service: "tables",
        address: { host: "10.0.0.1", port: 8080 },
        availabilityZone: "north",
        slots: 3,
        state: "ready",
        coldRemainingMs: 0,
        startedAtEpochMs: 1,
        ...more,
    };
}

export function serverItem(id: string, more: Partial<RegisteredServer> = {}): StateItem {
    return { type: "server", key: `servers/${id}`, server: createServer(id, more) };
}

export function createRoute(pathPrefix: string, more: Partial<Route> = {}): Route {
    return {
        name: pathPrefix,
        authority: "survey.example",
        pathPrefix,
        idempotent: true,
        maximumRuns: 2,
        timeoutMs: 1_000,
        objectiveMs: 400,
        priority: 0,
        destinations: [{ service: "tables", weight: 1 }],
        ...more,
    };
}

export function configurationItem(version: number, routes: readonly Route[] = [createRoute("/")]): StateItem {
    const configuration: FleetConfiguration = {
        version,
        routes,
        services: [{ name: "tables", healthPath: "/health", maximumConnections: 200, coldRequestsPerSecond: 4 }],
        limits: { maximumHeaderBytes: 16_384, maximumBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
    return { type: "configuration", key: "configuration", configuration };
}
