import { type Route } from "./model.js";

/** Matches requests to routes. */
export interface RouteTable {
    /**
     * @param authority - value of the Host header
     * @param path - path of the request, without the query
     */
    find(authority: string, path: string): Route | undefined;
}

/**
 * Builds the route table for one version of the configuration. The prefixes of an authority are kept in a map, so a
 * lookup costs one probe per slash of the path, however many routes there are.
 *
 * @param routes - the routes of that version
 * @returns the table, which is immutable
 */
export function createRouteTable(routes: readonly Route[]): RouteTable {
    const byAuthority = new Map<string, Map<string, Route>>();
    for (const route of routes) {
        const prefixes = byAuthority.get(route.authority) ?? new Map<string, Route>();
        // Of two routes with the same prefix the first one wins, as a reader would expect.
        if (!prefixes.has(route.pathPrefix)) {
            prefixes.set(route.pathPrefix, route);
        }
        byAuthority.set(route.authority, prefixes);
    }
    return {
        find: (authority, path) => {
            const prefixes = byAuthority.get(withoutPort(authority));
            return prefixes === undefined ? undefined : findLongest(prefixes, path);
        },
    };
}

function findLongest(prefixes: ReadonlyMap<string, Route>, path: string): Route | undefined {
    for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
        const route = prefixes.get(path.slice(0, end + 1));
        if (route !== undefined) {
            return route;
        }
    }
    return undefined;
}

function withoutPort(authority: string): string {
    return authority.toLowerCase().replace(/:\d+$/, "");
}
