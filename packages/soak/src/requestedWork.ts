import { routePathPrefixes } from "./soakConfiguration.js";

const defaultResponseBytes = 200;
const largePath = new RegExp(`^${routePathPrefixes.large}(\\d+)/`);

/** @returns the path by which a request asks for a response of that size */
export function renderLargeResponsePath(requestId: string, bytes: number): string {
    return `${routePathPrefixes.large}${bytes}/${requestId}`;
}

/** @returns the response size that a path asks for, in bytes */
export function parseResponseBytes(path: string): number {
    const bytes = largePath.exec(path)?.[1];
    return bytes === undefined ? defaultResponseBytes : Number(bytes);
}
