import { type Route } from "./model.js";

/** Finds the route that a request belongs to. */
export interface RouteTable {
    /**
     * @param authority - the Host header
     * @param path - the request's path, without its query
     */
    find(authority: string, path: string): Route | undefined;
}

/**
 * Builds the table for one version of the configuration. The prefixes of an authority are held by their text, so that
 * a look-up costs one probe a slash of the path, however many routes there are.
 *
 * @param routes - the routes of that version
 * @returns the table, which never changes
 */
export function createRouteTable(routes: readonly Route[]): RouteTable {
    const byAuthority = new Map<string, Map<string, Route>>();
    for (const route of routes) {
        const prefixes = byAuthority.get(route.authority) ?? new Map<string, Route>();
        // Of two routes with the same prefix the first one goes, as a person reading would expect.
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
