/** What a backend server says of itself, in an answer or on its health or load endpoint. */
export interface ServerMetadata {
    readonly state: "warm" | "cold" | "leaving" | undefined;
    /** Requests that it has in flight. */
    readonly inFlight: number | undefined;
    /** Its word for its present life. */
    readonly incarnation: string | undefined;
    /** Requests in flight that it bears now. */
    readonly bears: number | undefined;
}

/** Answer headers that carry {@link ServerMetadata}. */
export const serverMetadataHeaders = {
    state: "x-backend-state",
    inFlight: "x-backend-in-flight",
    incarnation: "x-backend-incarnation",
    bears: "x-backend-bears",
} as const;

/** Signs of a server that says nothing. */
export const emptyServerMetadata: ServerMetadata = Object.freeze({
    state: undefined,
    inFlight: undefined,
    incarnation: undefined,
    bears: undefined,
});

const states = ["warm", "cold", "leaving"] as const;

function resolveCount(text: string | undefined): number | undefined {
    return text !== undefined && /^\d{1,6}$/.test(text) ? Number(text) : undefined;
}

/**
 * Reads what a backend server says of itself; what is malformed counts as not said.
 *
 * @param header - gives a header's value by its name in lower case
 * @returns the signs
 */
export function parseServerMetadata(header: (name: string) => string | undefined): ServerMetadata {
    const state = header(serverMetadataHeaders.state);
    const incarnation = header(serverMetadataHeaders.incarnation);
    return {
        state: states.find(known => known === state),
        inFlight: resolveCount(header(serverMetadataHeaders.inFlight)),
        incarnation: incarnation === "" ? undefined : incarnation,
        bears: resolveCount(header(serverMetadataHeaders.bears)),
    };
}

/** How one request to a backend server ended. */
export interface AttemptCompletion {
    /** `good`: a whole answer, whatever its status; `refused`: no connection; `failed`: no whole answer. */
    readonly outcome: "good" | "shed" | "refused" | "failed" | "cancelled";
    readonly metadata: ServerMetadata;
    /** Whether the server may still be running it, as after a lost connection; it is counted until its deadline. */
    readonly mayStillRun: boolean;
}
