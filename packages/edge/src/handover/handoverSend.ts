import { type Failure, createFailure } from "@galenaglade/errors";
import {
    type BodyFraming,
    type EmbeddedHead,
    findHeader,
    filterEndToEndHeaders,
    type RawHeaders,
    type RequestBody,
} from "@galenaglade/http-parts";
import { maxReusedBodyBytes } from "../constants.js";
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

const badRequestStatus = 400;
const notFoundStatus = 404;

type FramingType = BodyFraming["type"];

/** Inputs of {@link handOver}. */
export interface HandoverInput {
    readonly connection: ServerConnection;
    readonly metadata: HandoverMetadata;
    readonly method: string;
    /** Headers as the caller sent them. */
    readonly headers: RawHeaders;
    readonly body: RequestBody;
    readonly idempotent: boolean;
    readonly requestId: string | undefined;
    readonly metadataReader: ResponseMetadataReader;
    readonly maxBufferedBytes: number;
    /** Called in the event loop turn that writes the first byte; `false` cancels the send. */
    readonly mayWrite: () => boolean;
    /** Called once the first byte is being written. */
    readonly onWritten: () => void;
    readonly openSink: (head: ResponseHead) => ResponseSink | undefined;
}

/** Result of a handover, with the fields of a send to a server. */
export interface HandoverResult extends SendResult {
    /** Outcome that the other gateway reported; `undefined` if it reported none. */
    readonly outcome: HandoverOutcome | undefined;
    /** Failure that the other gateway reported after it had tried; `undefined` otherwise. */
    readonly failure: Failure | undefined;
}

/** A handover in flight. */
export interface Handover {
    readonly result: Promise<HandoverResult>;
    /** Whether the first byte of the request may have been written. */
    readonly isWritten: () => boolean;
    /** Cancels the handover; the other gateway cancels the work. */
    abandon(): void;
}

/**
 * Hands a request over to another gateway and reads its response, which is passed on like a server's own.
 *
 * @param input - the connection, the request and its metadata
 * @returns the handover in flight
 */
export function handOver(input: HandoverInput): Handover {
    const reader = new HandoverReader(input);
    const {
        connection,
        metadata,
        method,
        headers,
        body,
        idempotent,
        requestId,
        maxBufferedBytes,
        mayWrite,
        onWritten,
    } = input;
    const send = sendRequest({
        connection,
        isFirstRequest: true,
        method,
        path: handoverPath,
        headers: [
            ...filterEndToEndHeaders(headers, name => name === handoverHeader),
            handoverHeader,
            renderHandoverHeader(metadata),
        ],
        body: body.open(),
        idempotent,
        requestId,
        metadataReader: reader,
        maxBufferedBytes,
        mayLeaveUnread: body.byteLength > maxReusedBodyBytes,
        mayWrite,
        onWritten,
        openSink: head =>
            reader.outcome?.type === "answered" ? input.openSink(restoreHead(head, reader.outcome)) : undefined,
    });
    return {
        result: send.result.then(result => resolveResult(result, reader.outcome)),
        isWritten: send.isWritten,
        abandon: () => send.abandon(),
    };
}

/** Reads the head of a response from another gateway: a server's that it passes on, or its own. */
class HandoverReader extends ResponseMetadataReader {
    readonly #input: HandoverInput;
    outcome: HandoverOutcome | undefined;

    constructor(input: HandoverInput) {
        super();
        this.#input = input;
    }

    override readResponse(status: number, headers: RawHeaders): ResponseMetadata {
        this.outcome = parseHandoverOutcome(findHeader(headers, handoverHeader));
        if (this.outcome?.type === "answered") {
            return this.#input.metadataReader.readResponse(status, headers);
        }
        return {
            requestId: this.#input.requestId,
            signed: false,
            notRun: isNotRun(status, this.outcome),
            serverId: undefined,
            load: undefined,
            coldRemainingMs: 0,
            limit: { type: "none" },
            backoff: { type: "none" },
            leaving: false,
            unknownHeaders: [],
        };
    }

    override readEmbeddedRequestId(head: EmbeddedHead): string | undefined {
        return this.#input.metadataReader.readEmbeddedRequestId(head);
    }
}

/** @returns whether a gateway that passes no server's response on has certainly not run the request */
function isNotRun(status: number, outcome: HandoverOutcome | undefined): boolean {
    if (outcome === undefined) {
        // Older gateways, which don't support handovers, reject this path like any unknown one.
        return status === badRequestStatus || status === notFoundStatus;
    }
    return outcome.type === "refused" || (outcome.type === "failed" && outcome.notRun);
}

function resolveResult(result: SendResult, outcome: HandoverOutcome | undefined): HandoverResult {
    if (outcome?.type === "failed" && result.end.type !== "abandoned") {
        const { kind, detail, notRun, retryAfterSeconds } = outcome;
        const failure = createFailure(kind, detail, retryAfterSeconds === undefined ? {} : { retryAfterSeconds });
        const end = notRun ? result.end : { type: "unknown", reason: "connectionLost" } as const;
        return { ...result, end, response: undefined, outcome, failure };
    }
    if (outcome === undefined && result.end.type === "answered") {
        const end = { type: "unknown", reason: "notAnAnswer" } as const;
        return { ...result, end, response: undefined, outcome, failure: undefined };
    }
    const { response } = result;
    const body = result.body && { ...result.body, framing: restoreFraming(result.body.framing, outcome) };
    return {
        ...result,
        body,
        response: response
            && { ...response, ...restoreHead(response, outcome), bodyReport: body ?? response.bodyReport },
        outcome,
        failure: undefined,
    };
}

/** @returns the head of the server's response that another gateway passes on */
function restoreHead<Head extends ResponseHead>(head: Head, outcome: HandoverOutcome | undefined): Head {
    const framing = restoreFraming(head.framing.type, outcome) === "untilClose"
        ? { type: "untilClose" } as const
        : head.framing;
    return { ...head, framing, headers: filterEndToEndHeaders(head.headers, name => name === handoverHeader) };
}

function restoreFraming(received: FramingType, outcome: HandoverOutcome | undefined): FramingType {
    return outcome?.type === "answered" && outcome.untilClose ? "untilClose" : received;
}
