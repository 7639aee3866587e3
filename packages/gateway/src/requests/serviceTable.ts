import {
    type BackendServer,
    type Configuration,
    type ConfigurationRevision,
    type Service,
} from "@galenaglade/configuration";
import { createServerId, type ServerId } from "@galenaglade/routing";
import findMyWay from "find-my-way";

/** A backend server with its id, which is unique in the configuration. */
export interface Target {
    readonly serverId: ServerId;
    readonly server: BackendServer;
}

/** A service as declared by one configuration revision. */
export interface ServiceRoute {
    readonly revision: number;
    readonly configuration: Configuration;
    readonly service: Service;
    /** Backend servers that may be sent new requests: those whose availability zone isn't taken out. */
    readonly targets: readonly Target[];
}

/** Routing table of one configuration revision: maps requests to services. */
export interface ServiceTable {
    readonly revision: number;
    readonly routes: readonly ServiceRoute[];
    /**
     * @param authority - the Host header
     * @param path - the request's path, without its query
     */
    find(authority: string, path: string): ServiceRoute | undefined;
}

const anyAuthority = "*";
const method = "GET";

/**
 * Builds the routing table of a configuration revision. Built once per revision, so that each request costs only a
 * look-up.
 *
 * @param revised - the configuration
 * @returns the table, which is immutable
 */
export function createServiceTable(revised: ConfigurationRevision): ServiceTable {
    const routes = revised.configuration.services.map(service => createRoute(revised, service));
    const routers = new Map<string, findMyWay.Instance<findMyWay.HTTPVersion.V1>>();
    for (const route of routes) {
        for (const authority of route.service.authorities) {
            const key = authority.toLowerCase();
            const router = routers.get(key) ?? findMyWay({ caseSensitive: true });
            routers.set(key, router);
            addPrefix(router, route);
        }
    }
    const findIn = (authority: string, path: string): ServiceRoute | undefined => {
        const found = routers.get(authority)?.find(method, path);
        return found?.store as ServiceRoute | undefined;
    };
    return {
        revision: revised.revision,
        routes,
        find: (authority, path) => findIn(stripPort(authority), path) ?? findIn(anyAuthority, path),
    };
}

function createRoute(revised: ConfigurationRevision, service: Service): ServiceRoute {
    const activeZones = new Set<string>();
    for (const zone of revised.configuration.availabilityZones) {
        if (zone.state === "in") {
            activeZones.add(zone.name);
        }
    }
    const targets = service.backendServers
        .filter(server => activeZones.has(server.availabilityZone))
        .map(server => ({ serverId: createServerId(service.name, server.name), server }));
    return { revision: revised.revision, configuration: revised.configuration, service, targets };
}

function addPrefix(router: findMyWay.Instance<findMyWay.HTTPVersion.V1>, route: ServiceRoute): void {
    const prefix = route.service.pathPrefix.replace(/\/+$/, "");
    const ignore = (): void => undefined;
    for (const pattern of prefix === "" ? ["/*"] : [prefix, `${prefix}/*`]) {
        // If two services have the same authority and prefix, the one declared first wins.
        if (!router.hasRoute(method, pattern)) {
            router.on(method, pattern, ignore, route);
        }
    }
}

function stripPort(authority: string): string {
    return authority.toLowerCase().replace(/:\d+$/, "");
}
