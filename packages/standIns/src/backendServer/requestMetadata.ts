import { type IncomingMessage } from "node:http";
import { backendHeaders } from "./backendResponse.js";

/** Metadata that a backend server reads from a request's headers. */
export interface RequestMetadata {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    /** Remaining time until the caller's deadline on arrival, in milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly workMs: number | undefined;
    readonly answerBytes: number;
}

const defaultAnswerBytes = 256;

/** Reads the metadata from the headers of a request; missing or invalid numbers are `undefined`. */
export function readRequestMetadata(req: IncomingMessage): RequestMetadata {
    return {
        requestId: readHeader(req, backendHeaders.requestId) ?? "",
        idempotencyKey: readHeader(req, backendHeaders.idempotencyKey),
        deadlineMs: readNumber(req, backendHeaders.deadlineMs),
        workMs: readNumber(req, backendHeaders.workMs),
        answerBytes: readNumber(req, backendHeaders.answerBytes) ?? defaultAnswerBytes,
    };
}

/** @returns the header's value, or `undefined` if it is missing or a list */
export function readHeader(req: IncomingMessage, header: string): string | undefined {
    const value = req.headers[header];
    return typeof value === "string" ? value : undefined;
}

function readNumber(req: IncomingMessage, header: string): number | undefined {
    const text = readHeader(req, header);
    const value = Number(text);
    return text === undefined || !Number.isFinite(value) || value < 0 ? undefined : value;
}
