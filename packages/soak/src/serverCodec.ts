import { type IncomingHttpHeaders } from "node:http";

/** A request as a backend server receives it. */
export interface ReceivedRequest {
    readonly requestId: string;
    /** ID of the only server that may run it; `undefined` if any may. */
    readonly expectedServer: string | undefined;
    /** Time until the request's deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Name of the caller's workspace; `undefined` if the request carries none. */
    readonly workspace: string | undefined;
    /** Whether the request has the header in which callers send their keys. */
    readonly hasKey: boolean;
}

/** The state that a backend server reports. */
export interface ServerState {
    readonly id: string;
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    readonly slowdown: number;
    readonly coldRemainingMs: number;
}

/** Encodes and decodes the headers that a backend server of the system under test uses. */
export abstract class ServerCodec {
    abstract readonly healthPath: string;
    abstract parseRequestHeaders(headers: IncomingHttpHeaders): ReceivedRequest;
    abstract renderState(state: ServerState): Readonly<Record<string, string>>;
    /** @returns headers of a response to a request that ran */
    abstract renderDidRun(requestId: string, signed: boolean): Readonly<Record<string, string>>;
    /** @returns headers that advertise a rate limit, in requests per second */
    abstract renderLimit(perSecond: number): Readonly<Record<string, string>>;
    /** @returns headers of a rejection that ask the gateway to back off for some seconds */
    abstract renderBackoff(seconds: number): Readonly<Record<string, string>>;
    /** @returns headers that announce that the server is leaving */
    abstract renderLeaving(): Readonly<Record<string, string>>;
    /** @returns headers of a response to a request that has not run and never will */
    abstract renderDidNotRun(requestId: string): Readonly<Record<string, string>>;
}
