import { pathOf } from "./soakConfiguration.js";

const usualAnswerBytes = 200;
const largePath = new RegExp(`^${pathOf.large}(\\d+)/`);

/** @returns the path by which a request asks for an answer of that length */
export function renderLargePath(requestId: string, bytes: number): string {
    return `${pathOf.large}${bytes}/${requestId}`;
}

/** @returns how long an answer a request's path asks for */
export function readAnswerBytes(path: string): number {
    const bytes = largePath.exec(path)?.[1];
    return bytes === undefined ? usualAnswerBytes : Number(bytes);
}
