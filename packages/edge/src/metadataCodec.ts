import { type RawHeaders } from "@galenaglade/http-parts";
import { type ParsedBackoff, type LoadReport, type ParsedLimit } from "@galenaglade/placement";
import { type CallerKey } from "@galenaglade/workspaces";

/** What a caller's request says of itself, besides what HTTP says. */
export interface RequestMetadata {
    /** Names this try of the caller's; `undefined` where it sent none. */
    readonly requestId: string | undefined;
    /** How long the caller waits; `undefined` where it doesn't say, or not in numbers. */
    readonly patienceMs: number | undefined;
    readonly callerKey: CallerKey;
}

/** On whose behalf a request is sent on. */
export type ForwardIdentity =
    /** Nobody was asked: what the caller says of itself is passed on. */
    | { readonly type: "unchecked"; }
    /** Neither a workspace nor a key. */
    | { readonly type: "anonymous"; }
    | { readonly type: "workspace"; readonly name: string; };

/** What the gateway adds to a request for a backend server. */
export interface ForwardMetadata {
    readonly serverId: string;
    readonly remainingMs: number;
    readonly identity: ForwardIdentity;
}

/** What a backend server's answer says of itself, besides what HTTP says. */
export interface ResponseMetadata {
    /** The request that it answers. */
    readonly requestId: string | undefined;
    /** Whether it bears the server's proof that the body is its own. */
    readonly signed: boolean;
    /** Whether the server says that the request has not run. */
    readonly notRun: boolean;
    /** The server that answered. */
    readonly serverId: string | undefined;
    readonly load: LoadReport | undefined;
    readonly coldRemainingMs: number;
    /** Requests a second that it takes from all gateways together. */
    readonly limit: ParsedLimit;
    /** How long the server wants nothing from this gateway. */
    readonly backoff: ParsedBackoff;
    /** Whether the server says that it leaves. */
    readonly leaving: boolean;
    /** Headers that say something which nobody here understands. */
    readonly unknownHeaders: readonly string[];
}

/** Reads what answers say of themselves. */
export abstract class ResponseMetadataReader {
    /** @returns what a backend server's answer says, to a request or to a question for its load */
    abstract readResponse(status: number, headers: RawHeaders): ResponseMetadata;
}

/** The names that callers and backend servers use for what the product needs to know of them. */
export abstract class EdgeMetadataCodec extends ResponseMetadataReader {
    /** Path on which the balancer asks for readiness. */
    abstract readonly readinessPath: string;
    /** @returns what the headers of a caller's request say */
    abstract readRequest(headers: RawHeaders): RequestMetadata;
    /** @returns names and values in turn, for a backend server */
    abstract createForwardHeaders(headers: RawHeaders, signs: ForwardMetadata): string[];
}
