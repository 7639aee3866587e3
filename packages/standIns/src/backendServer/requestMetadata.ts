import { type IncomingMessage } from "node:http";
import { backendHeaders } from "./backendResponse.js";

/** What a backend server reads of a request's headers. */
export interface RequestMetadata {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    /** Time that the caller still waits, in milliseconds from arrival. */
    readonly deadlineMs: number | undefined;
    readonly workMs: number | undefined;
    readonly answerBytes: number;
}

const defaultAnswerBytes = 256;

/** Reads the headers. */
export function readRequestMetadata(req: IncomingMessage): RequestMetadata {
    return {
        requestId: readHeader(req, backendHeaders.requestId) ?? "",
        idempotencyKey: readHeader(req, backendHeaders.idempotencyKey),
        deadlineMs: readNumber(req, backendHeaders.deadlineMs),
        workMs: readNumber(req, backendHeaders.workMs),
        answerBytes: readNumber(req, backendHeaders.answerBytes) ?? defaultAnswerBytes,
    };
}

/** @returns the header's value where it came once */
export function readHeader(req: IncomingMessage, header: string): string | undefined {
    const value = req.headers[header];
    return typeof value === "string" ? value : undefined;
}

function readNumber(req: IncomingMessage, header: string): number | undefined {
    const text = readHeader(req, header);
    const value = Number(text);
    return text === undefined || !Number.isFinite(value) || value < 0 ? undefined : value;
}
