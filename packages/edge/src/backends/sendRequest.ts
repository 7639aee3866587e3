import {
    type BodyFraming,
    ByteCollector,
    type EmbeddedHead,
    findHeader,
    findHeaders,
    type RawHeaders,
    resolveBodyFraming,
    ResponseFramingError,
} from "@galenaglade/http-parts";
import { type NotRunReason, type SendEnd, type UnknownRunReason } from "@galenaglade/placement";
import { type ServerContactResult } from "@galenaglade/reachability";
import { type Readable } from "node:stream";
import { type Dispatcher } from "undici";
import { type ResponseMetadataReader, type ResponseMetadata } from "../metadataCodec.js";
import { classifyConnectionError } from "./classifyConnectionError.js";
import { readRawHeaders } from "./readRawHeaders.js";
import { type BodyReport, ResponseBody } from "./responseBody.js";
import { type ServerConnection } from "./serverConnection.js";

/** Status, headers and metadata of a backend server's response. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: RawHeaders;
    readonly metadata: ResponseMetadata;
    readonly framing: BodyFraming;
}

/** A backend server's response with its whole body. */
export interface BufferedResponse extends ResponseHead {
    readonly body: Buffer;
    readonly bodyReport: BodyReport;
}

/** Receives the body of a response that is too large to be buffered. */
export abstract class ResponseSink {
    /** @returns whether more can be written at once; otherwise `resume` is called once it can */
    abstract write(chunk: Buffer, resume: () => void): boolean;
}

/** Options of one attempt to send a request. */
export interface SendOptions {
    readonly connection: ServerConnection;
    /**
     * Whether this is the first request on the connection, so that a rejection received on it must refer to this
     * request.
     */
    readonly isFirstRequest: boolean;
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Buffer | Readable | undefined;
    readonly idempotent: boolean;
    readonly requestId: string | undefined;
    readonly metadataReader: ResponseMetadataReader;
    readonly maxBufferedBytes: number;
    /** Called right before the first byte is written. */
    readonly mayWrite: () => boolean;
    /** Called once the first byte is being written. */
    readonly onWritten: () => void;
    /** Whether the server may not have read the whole body when the request is cancelled. */
    readonly mayLeaveUnread: boolean;
    /**
     * Called once a response is too large to be buffered.
     *
     * @returns the destination of its body, or `undefined` to cancel the request
     */
    readonly openSink: (head: ResponseHead) => ResponseSink | undefined;
}

/** Result of one attempt to send a request. */
export interface SendResult {
    readonly end: SendEnd;
    /** The whole response, if it was buffered. */
    readonly response: BufferedResponse | undefined;
    /** Whether a sink was opened, so that the caller has received a part of the response. */
    readonly streamed: boolean;
    /** Metadata of the response; `undefined` if no response head was received. */
    readonly metadata: ResponseMetadata | undefined;
    /** How the body was framed, and how much of it was received; `undefined` if no response head was received. */
    readonly body: BodyReport | undefined;
    readonly detail: string;
    /** Whether the server could be reached; `undefined` if unknown. */
    readonly contact: ServerContactResult | undefined;
    readonly tookMs: number;
}

/** An attempt in progress. */
export interface Send {
    readonly result: Promise<SendResult>;
    /** Whether the first byte of the request may have been written. */
    readonly isWritten: () => boolean;
    /** Cancels the attempt and closes its connection, so that the server can abort the request. */
    abandon(): void;
}

const misdirectedStatus = 421;

/**
 * Sends a request to a backend server over one connection and reads the response.
 *
 * @param options - the request and its connection
 */
export function sendRequest(options: SendOptions): Send {
    let handler: SendHandler | undefined;
    const result = new Promise<SendResult>(resolve => {
        handler = new SendHandler(options, resolve);
        options.connection.dispatch({
            method: options.method,
            path: options.path,
            headers: options.headers,
            body: options.body,
            idempotent: options.idempotent,
        }, handler);
    });
    return { result, isWritten: () => handler?.isWritten === true, abandon: () => handler?.abandon() };
}

class SendHandler implements Dispatcher.DispatchHandler {
    readonly #options: SendOptions;
    readonly #resolve: (result: SendResult) => void;
    readonly #startedAtMs = performance.now();
    readonly #collected = new ByteCollector();
    #controller: Dispatcher.DispatchController | undefined;
    #isWritten = false;
    #isWriteRefused = false;
    #head: ResponseHead | undefined;
    #body: ResponseBody | undefined;
    #contact: ServerContactResult | undefined;
    #sink: ResponseSink | undefined;
    #isSettled = false;

    constructor(options: SendOptions, resolve: (result: SendResult) => void) {
        this.#options = options;
        this.#resolve = resolve;
    }

    get isWritten(): boolean {
        return this.#isWritten;
    }

    /** Called right before the first byte of the request is written, in the same event-loop turn. */
    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.#controller = controller;
        // After a lost connection, the client may write a request a second time. That must not happen once its result
        // has been reported.
        if (this.#isSettled || this.#isWritten || !this.#options.mayWrite()) {
            this.#isWriteRefused = !this.#isWritten;
            controller.abort(new Error("not sent any more"));
            return;
        }
        this.#isWritten = true;
        this.#options.onWritten();
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        this.#contact = "heard";
        this.#options.connection.onResponse();
        if (status < 200) {
            return;
        }
        const headers = readRawHeaders(controller.rawHeaders);
        const framing = resolveBodyFraming(this.#options.method, status, name => findHeaders(headers, name));
        const metadata = this.#options.metadataReader.readResponse(status, headers);
        this.#head = { status, headers, metadata, framing };
        this.#body = new ResponseBody(framing, embedded => this.#isRepeat(embedded));
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        const head = this.#head;
        const body = this.#body;
        if (this.#isSettled || head === undefined || body === undefined) {
            return;
        }
        const received = body.onData(chunk);
        if (body.isRepeated) {
            this.#settle({ type: "unknown", reason: "repeatedHead" }, "the response begins again within its body");
            controller.abort(new Error("response rejected"));
            return;
        }
        this.#accept(controller, head, received);
    }

    onResponseEnd(): void {
        const head = this.#head;
        const body = this.#body;
        if (head === undefined || body === undefined) {
            this.#settle({ type: "unknown", reason: "notAnAnswer" }, "ended without an answer");
            return;
        }
        const held = body.onEnd(this.#options.connection.bytesBehindBody);
        const fault = this.#findFault(head);
        if (fault !== undefined) {
            this.#settle({ type: "unknown", reason: fault }, fault);
            return;
        }
        this.#acceptLast(held);
        const notRun = findNotRun(head);
        this.#settle(
            notRun === undefined ? { type: "answered", status: head.status } : { type: "notRun", reason: notRun },
            String(head.status),
        );
    }

    onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
        if (!this.#isWriteRefused) {
            // Bytes that aren't valid HTTP still show that the server can be reached.
            this.#contact ??= isParserError(err) ? "heard" : classifyConnectionError(err);
        }
        const refusal = this.#head && this.#findFault(this.#head) === undefined ? findNotRun(this.#head) : undefined;
        if (refusal !== undefined) {
            // A server that refuses a request may close the connection before it has read the body.
            this.#settle({ type: "notRun", reason: refusal }, err.message);
            return;
        }
        if (this.#isWritten) {
            this.#settle(
                { type: "unknown", reason: this.#head === undefined ? classifyLoss(err) : "cutShort" },
                err.message,
            );
            return;
        }
        this.#settle({ type: "notRun", reason: this.#isWriteRefused ? "notSent" : "connectFailed" }, err.message);
    }

    abandon(): void {
        if (this.#isSettled) {
            return;
        }
        this.#settle(this.#isWritten ? { type: "abandoned" } : { type: "notRun", reason: "notSent" }, "given up");
        if (this.#controller === undefined) {
            this.#options.connection.destroy();
            return;
        }
        if (this.#isWritten && this.#options.mayLeaveUnread) {
            // A close would arrive behind the body, which the server may not be reading.
            this.#options.connection.reset();
        }
        this.#controller.abort(new Error("request cancelled"));
    }

    /** A response with any fault is discarded: it may be the rest of another response, or a part of this one. */
    #findFault({ status, headers, metadata, framing }: ResponseHead): UnknownRunReason | undefined {
        const { requestId, isFirstRequest } = this.#options;
        // A server may reject a request before it has read the request id. On the first request of a connection, the
        // rejection can't refer to another request.
        const isUnidentified = metadata.requestId === undefined && isFirstRequest && metadata.notRun;
        if (metadata.requestId !== requestId && !isUnidentified) {
            return "otherRequestsAnswer";
        }
        if (framing.type === "encoded" || findHeader(headers, "content-encoding") !== undefined) {
            return "encoded";
        }
        if (this.#body?.isRepeated === true) {
            return "repeatedHead";
        }
        return status < 300 && !metadata.signed ? "notSigned" : undefined;
    }

    /** @returns whether a head inside the body belongs to a response to the same request */
    #isRepeat(embedded: EmbeddedHead): boolean {
        const { requestId, metadataReader } = this.#options;
        return requestId !== undefined && metadataReader.readEmbeddedRequestId(embedded) === requestId;
    }

    /** Buffers a part of the body, or passes it on if the body is too large to be buffered. */
    #accept(controller: Dispatcher.DispatchController, head: ResponseHead, bytes: Buffer): void {
        if (bytes.length === 0) {
            return;
        }
        if (this.#sink !== undefined) {
            this.#writeToSink(controller, this.#sink, bytes);
            return;
        }
        this.#collected.add(bytes);
        if (this.#collected.byteLength > this.#options.maxBufferedBytes) {
            this.#openSink(controller, head);
        }
    }

    /** Buffers the end of the body, or passes it on; nothing is left to pause for it. */
    #acceptLast(bytes: Buffer): void {
        if (this.#sink === undefined) {
            this.#collected.add(bytes);
        }
        else if (bytes.length > 0) {
            this.#sink.write(bytes, () => undefined);
        }
    }

    #openSink(controller: Dispatcher.DispatchController, head: ResponseHead): void {
        const sink = this.#findFault(head) === undefined ? this.#options.openSink(head) : undefined;
        if (sink === undefined) {
            this.#settle({ type: "unknown", reason: "cutShort" }, "the answer is too large to be held, and not wanted");
            controller.abort(new Error("response rejected"));
            return;
        }
        this.#sink = sink;
        this.#writeToSink(controller, sink, this.#collected.concat());
        this.#collected.clear();
    }

    #writeToSink(controller: Dispatcher.DispatchController, sink: ResponseSink, chunk: Buffer): void {
        if (!sink.write(chunk, () => controller.resume())) {
            controller.pause();
        }
    }

    #settle(end: SendEnd, detail: string): void {
        if (this.#isSettled) {
            return;
        }
        this.#isSettled = true;
        const isBuffered = this.#head !== undefined && this.#sink === undefined && end.type === "answered";
        this.#resolve({
            end,
            response: isBuffered && this.#head !== undefined && this.#body !== undefined
                ? {
                    ...this.#head,
                    body: this.#collected.concat(),
                    bodyReport: this.#body.report(),
                }
                : undefined,
            streamed: this.#sink !== undefined,
            metadata: this.#head?.metadata,
            body: this.#body?.report(),
            detail,
            contact: this.#contact,
            tookMs: performance.now() - this.#startedAtMs,
        });
    }
}

function findNotRun({ status, metadata }: ResponseHead): NotRunReason | undefined {
    if (status === misdirectedStatus) {
        return "otherServer";
    }
    return metadata.notRun ? "turnedAway" : undefined;
}

function classifyLoss(err: Error): UnknownRunReason {
    return isParserError(err) ? "notAnAnswer" : "connectionLost";
}

function isParserError(err: Error): boolean {
    return err.name === "HTTPParserError" || err instanceof ResponseFramingError;
}
