import { type EmbeddedHead, type RawHeaders } from "@galenaglade/http-parts";
import { type ParsedBackoff, type LoadReport, type ParsedLimit } from "@galenaglade/placement";
import { type CallerKey } from "@galenaglade/workspaces";

/** Metadata of a caller's request, read from its headers. */
export interface RequestMetadata {
    /** Id of this attempt of the caller; `undefined` if it sent none. */
    readonly requestId: string | undefined;
    /** Time that the caller waits for a response; `undefined` if missing or not a number. */
    readonly patienceMs: number | undefined;
    readonly callerKey: CallerKey;
}

/** Identity of the caller on whose behalf a request is forwarded. */
export type ForwardIdentity =
    /** No authentication is configured: the caller's own headers are forwarded unchanged. */
    | { readonly type: "unchecked"; }
    /** Forwarded without a workspace or a key. */
    | { readonly type: "anonymous"; }
    | { readonly type: "workspace"; readonly name: string; };

/** Metadata that the gateway adds to a request to a backend server. */
export interface ForwardMetadata {
    readonly serverId: string;
    readonly remainingMs: number;
    readonly identity: ForwardIdentity;
}

/** Metadata of a backend server's response, read from its headers. */
export interface ResponseMetadata {
    /** Id of the request that this is the response to. */
    readonly requestId: string | undefined;
    /** Whether the response carries the server's signature, which shows that the body is its own. */
    readonly signed: boolean;
    /** Whether the server reports that it did not execute the request. */
    readonly notRun: boolean;
    /** Id of the server that responded. */
    readonly serverId: string | undefined;
    readonly load: LoadReport | undefined;
    readonly coldRemainingMs: number;
    /** Requests per second that the server accepts from all gateways together. */
    readonly limit: ParsedLimit;
    /** Time for which the server asks this gateway to send no requests. */
    readonly backoff: ParsedBackoff;
    /** Whether the server reports that it is shutting down. */
    readonly leaving: boolean;
    /** Names of protocol headers that this version doesn't support. */
    readonly unknownHeaders: readonly string[];
}

/** Reads the metadata of responses. */
export abstract class ResponseMetadataReader {
    /** @returns the metadata of a backend server's response to a request or to a load probe */
    abstract readResponse(status: number, headers: RawHeaders): ResponseMetadata;

    /** @returns the id of the request that a head found inside a body responds to */
    readEmbeddedRequestId({ status, headers }: EmbeddedHead): string | undefined {
        return this.readResponse(status, headers).requestId;
    }
}

/** Maps the headers and paths used by callers and backend servers to request and response metadata. */
export abstract class EdgeMetadataCodec extends ResponseMetadataReader {
    /** Path of the balancer's readiness check. */
    abstract readonly readinessPath: string;
    /** @returns the metadata of a caller's request */
    abstract readRequest(headers: RawHeaders): RequestMetadata;
    /** @returns the headers for a backend server as alternating names and values */
    abstract createForwardHeaders(headers: RawHeaders, metadata: ForwardMetadata): string[];
}
