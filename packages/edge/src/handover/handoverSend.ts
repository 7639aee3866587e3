import { type Failure, createFailure } from "@galenaglade/errors";
import { findHeader, keepEndToEnd, type RawHeaders, type RequestBody } from "@galenaglade/http-parts";
import { type ResponseHead, type ResponseSink, sendRequest, type SendResult } from "../backends/sendRequest.js";
import { type ServerConnection } from "../backends/serverConnection.js";
import { type ResponseMetadata, ResponseMetadataReader } from "../metadataCodec.js";
import {
    handoverHeader,
    type HandoverMetadata,
    handoverPath,
    type HandoverOutcome,
    parseHandoverOutcome,
    renderHandoverHeader,
} from "./handoverMessages.js";

/** One request that is handed to another gateway. */
export interface HandoverInput {
    readonly connection: ServerConnection;
    readonly metadata: HandoverMetadata;
    readonly method: string;
    /** As the caller sent them. */
    readonly headers: RawHeaders;
    readonly body: RequestBody;
    readonly idempotent: boolean;
    readonly requestId: string | undefined;
    readonly metadataReader: ResponseMetadataReader;
    readonly heldBytes: number;
    /** Asked in the turn in which the first byte is written. */
    readonly mayWrite: () => boolean;
    readonly openSink: (head: ResponseHead) => ResponseSink | undefined;
}

/** What became of it, in the terms of a send to a server. */
export interface HandoverResult extends SendResult {
    /** What the other gateway said; `undefined` where it said nothing. */
    readonly outcome: HandoverOutcome | undefined;
    /** Why no server's answer came of it, where the other gateway tried. */
    readonly failure: Failure | undefined;
}

/** A request that is at another gateway. */
export interface Handover {
    readonly result: Promise<HandoverResult>;
    /** Gives it up; that gateway drops the work. */
    abandon(): void;
}

/**
 * Hands a request to another gateway and reads its answer, which is passed on like a server's own.
 *
 * @param input - what goes where
 */
export function handOver(input: HandoverInput): Handover {
    const reader = new HandoverReader(input);
    const { connection, metadata, method, headers, body, idempotent, requestId, heldBytes, mayWrite } = input;
    const send = sendRequest({
        connection,
        isFirstRequest: true,
        method,
        path: handoverPath,
        headers: [
            ...keepEndToEnd(headers, name => name === handoverHeader),
            handoverHeader,
            renderHandoverHeader(metadata),
        ],
        body: body.open(),
        idempotent,
        requestId,
        metadataReader: reader,
        maxBufferedBytes: heldBytes,
        mayWrite,
        openSink: head => reader.verdict?.type === "answered" ? input.openSink(strip(head)) : undefined,
    });
    return { result: send.result.then(result => resolveResult(result, reader.verdict)), abandon: () => send.abandon() };
}

/** Reads a server's answer that another gateway passes on, or that gateway's own. */
class HandoverReader extends ResponseMetadataReader {
    readonly #input: HandoverInput;
    verdict: HandoverOutcome | undefined;

    constructor(input: HandoverInput) {
        super();
        this.#input = input;
    }

    override readResponse(status: number, headers: RawHeaders): ResponseMetadata {
        this.verdict = parseHandoverOutcome(findHeader(headers, handoverHeader));
        if (this.verdict?.type === "answered") {
            return this.#input.metadataReader.readResponse(status, headers);
        }
        return {
            requestId: this.#input.requestId,
            signed: false,
            // A program that knows no handover answers its path with a failure, and runs nothing.
            notRun: this.verdict?.type !== "failed" || this.verdict.notRun,
            serverId: undefined,
            load: undefined,
            coldRemainingMs: 0,
            limit: { type: "none" },
            backoff: { type: "none" },
            leaving: false,
            unknownHeaders: [],
        };
    }
}

function resolveResult(result: SendResult, verdict: HandoverOutcome | undefined): HandoverResult {
    if (verdict?.type === "failed" && result.end.type !== "abandoned") {
        const { kind, detail, notRun, retryAfterSeconds } = verdict;
        const failure = createFailure(kind, detail, retryAfterSeconds === undefined ? {} : { retryAfterSeconds });
        const end = notRun ? result.end : { type: "unknown", reason: "connectionLost" } as const;
        return { ...result, end, response: undefined, outcome: verdict, failure };
    }
    const { response } = result;
    return {
        ...result,
        response: response && { ...response, ...strip(response) },
        outcome: verdict,
        failure: undefined,
    };
}

function strip(head: ResponseHead): ResponseHead {
    return { ...head, headers: keepEndToEnd(head.headers, name => name === handoverHeader) };
}
