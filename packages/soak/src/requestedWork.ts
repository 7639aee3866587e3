import { routePathPrefixes } from "./soakConfiguration.js";

const defaultResponseBytes = 200;
const largePath = new RegExp(`^${routePathPrefixes.large}(\\d+)/`);
const bulkPath = new RegExp(`^(?:${routePathPrefixes.bulk}|${routePathPrefixes.file})(\\d+)/(\\d+)/`);

/** @returns the path by which a request asks for a response of that size */
export function renderLargeResponsePath(requestId: string, bytes: number): string {
    return `${routePathPrefixes.large}${bytes}/${requestId}`;
}

/** @returns the path by which a request asks for work of that mean duration and a response of that size */
export function renderBulkPath(route: "bulk" | "file", requestId: string, workMs: number, bytes: number): string {
    return `${routePathPrefixes[route]}${workMs}/${bytes}/${requestId}`;
}

/** @returns the response size that a path asks for, in bytes */
export function parseResponseBytes(path: string): number {
    const bytes = largePath.exec(path)?.[1] ?? bulkPath.exec(path)?.[2];
    return bytes === undefined ? defaultResponseBytes : Number(bytes);
}

/** @returns the mean duration of the work that a path asks for, in milliseconds; `undefined` if it names none */
export function parseWorkMs(path: string): number | undefined {
    const workMs = bulkPath.exec(path)?.[1];
    return workMs === undefined ? undefined : Number(workMs);
}
