import {
    type BackendServer,
    type Configuration,
    type ConfigurationRevision,
    type Service,
} from "@galenaglade/configuration";
import { createServerId, type ServerId } from "@galenaglade/routing";
import findMyWay from "find-my-way";

/** A backend server with its name over the whole configuration. */
export interface Target {
    readonly serverId: ServerId;
    readonly server: BackendServer;
}

/** A service as one revision of the configuration declares it. */
export interface ServiceRoute {
    readonly revision: number;
    readonly configuration: Configuration;
    readonly service: Service;
    /** Backend servers that may get new work: those whose availability zone is not taken out. */
    readonly targets: readonly Target[];
}

/** Finds the service that a request asks for, under one revision of the configuration. */
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
 * Builds the table for a revision. It is built once for each revision, so that a request costs one look-up.
 *
 * @param revised - the configuration
 * @returns the table, which never changes
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
        find: (authority, path) => findIn(withoutPort(authority), path) ?? findIn(anyAuthority, path),
    };
}

function createRoute(revised: ConfigurationRevision, service: Service): ServiceRoute {
    const zonesIn = new Set<string>();
    for (const zone of revised.configuration.availabilityZones) {
        if (zone.state === "in") {
            zonesIn.add(zone.name);
        }
    }
    const targets = service.backendServers
        .filter(server => zonesIn.has(server.availabilityZone))
        .map(server => ({ serverId: createServerId(service.name, server.name), server }));
    return { revision: revised.revision, configuration: revised.configuration, service, targets };
}

function addPrefix(router: findMyWay.Instance<findMyWay.HTTPVersion.V1>, route: ServiceRoute): void {
    const prefix = route.service.pathPrefix.replace(/\/+$/, "");
    const ignore = (): void => undefined;
    for (const pattern of prefix === "" ? ["/*"] : [prefix, `${prefix}/*`]) {
        // Two services with the same authority and prefix: the first declared goes, as a person reading would expect.
        if (!router.hasRoute(method, pattern)) {
            router.on(method, pattern, ignore, route);
        }
    }
}

function withoutPort(authority: string): string {
    return authority.toLowerCase().replace(/:\d+$/, "");
}
