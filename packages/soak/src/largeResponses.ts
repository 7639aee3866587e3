import { routePathPrefixes } from "./soakConfiguration.js";

const usualAnswerBytes = 200;
const largePath = new RegExp(`^${routePathPrefixes.large}(\\d+)/`);

/** @returns the path by which a request asks for an answer of that length */
export function renderLargeResponsePath(requestId: string, bytes: number): string {
    return `${routePathPrefixes.large}${bytes}/${requestId}`;
}

/** @returns how long an answer a request's path asks for */
export function parseResponseBytes(path: string): number {
    const bytes = largePath.exec(path)?.[1];
    return bytes === undefined ? usualAnswerBytes : Number(bytes);
}
