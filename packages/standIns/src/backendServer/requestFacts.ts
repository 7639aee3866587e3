import { type IncomingMessage } from "node:http";
import { backendHeaders } from "./answer.js";

/** What a backend server reads of a request's headers. */
export interface RequestFacts {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    /** Time that the caller still waits, in milliseconds from arrival. */
    readonly deadlineMs: number | undefined;
    readonly workMs: number | undefined;
    readonly answerBytes: number;
}

const defaultAnswerBytes = 256;

/** Reads the headers. */
export function readRequestFacts(req: IncomingMessage): RequestFacts {
    return {
        requestId: readText(req, backendHeaders.requestId) ?? "",
        idempotencyKey: readText(req, backendHeaders.idempotencyKey),
        deadlineMs: readNumber(req, backendHeaders.deadlineMs),
        workMs: readNumber(req, backendHeaders.workMs),
        answerBytes: readNumber(req, backendHeaders.answerBytes) ?? defaultAnswerBytes,
    };
}

/** @returns the header's value where it came once */
export function readText(req: IncomingMessage, header: string): string | undefined {
    const value = req.headers[header];
    return typeof value === "string" ? value : undefined;
}

function readNumber(req: IncomingMessage, header: string): number | undefined {
    const text = readText(req, header);
    const value = Number(text);
    return text === undefined || !Number.isFinite(value) || value < 0 ? undefined : value;
}
