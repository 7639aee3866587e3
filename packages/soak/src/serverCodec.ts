import { type IncomingHttpHeaders } from "node:http";

/** What a request says to a backend server. */
export interface ReceivedRequest {
    readonly requestId: string;
    /** The only server that may run it; `undefined` where any may. */
    readonly expectedServer: string | undefined;
    /** How long it may work. */
    readonly remainingMs: number;
    /** Name of the caller's workspace; `undefined` where it says none. */
    readonly workspace: string | undefined;
    /** Whether it has the header in which callers send their keys. */
    readonly hasKey: boolean;
}

/** What a backend server says of itself. */
export interface ServerState {
    readonly id: string;
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    readonly slowdown: number;
    readonly coldRemainingMs: number;
}

/** The names that a backend server of the system under test uses on the wire. */
export abstract class ServerCodec {
    abstract readonly healthPath: string;
    abstract readRequest(headers: IncomingHttpHeaders): ReceivedRequest;
    abstract renderState(state: ServerState): Readonly<Record<string, string>>;
    /** @returns headers of an answer to a request that ran */
    abstract renderDidRun(requestId: string, signed: boolean): Readonly<Record<string, string>>;
    /** @returns headers that name a limit, in requests a second */
    abstract renderLimit(perSecond: number): Readonly<Record<string, string>>;
    /** @returns headers that ask for rest, with an answer that turns a request away */
    abstract renderBackoff(seconds: number): Readonly<Record<string, string>>;
    /** @returns headers that say that the server leaves */
    abstract renderLeaving(): Readonly<Record<string, string>>;
    /** @returns headers of an answer to a request that has not run and never will */
    abstract renderDidNotRun(requestId: string): Readonly<Record<string, string>>;
}
