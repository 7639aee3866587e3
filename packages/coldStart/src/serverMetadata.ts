/** State that a backend server reports in its response headers or on its health or load endpoint. */
export interface ServerMetadata {
    readonly state: "warm" | "cold" | "leaving" | undefined;
    /** Number of requests that the server has in flight. */
    readonly inFlight: number | undefined;
    /** Identifies the current incarnation of the server process. */
    readonly incarnation: string | undefined;
    /** Number of concurrent requests that the server accepts at present. */
    readonly bears: number | undefined;
}

/** Response headers that carry {@link ServerMetadata}. */
export const serverMetadataHeaders = {
    state: "x-backend-state",
    inFlight: "x-backend-in-flight",
    incarnation: "x-backend-incarnation",
    bears: "x-backend-bears",
} as const;

/** Metadata of a server that reports nothing. */
export const emptyServerMetadata: ServerMetadata = Object.freeze({
    state: undefined,
    inFlight: undefined,
    incarnation: undefined,
    bears: undefined,
});

const knownStates = ["warm", "cold", "leaving"] as const;

function parseCount(text: string | undefined): number | undefined {
    return text !== undefined && /^\d{1,6}$/.test(text) ? Number(text) : undefined;
}

/**
 * Parses the metadata that a backend server reports. Malformed values are ignored.
 *
 * @param header - returns the value of a header by its lower-case name
 * @returns the metadata; fields that are missing or malformed are `undefined`
 */
export function parseServerMetadata(header: (name: string) => string | undefined): ServerMetadata {
    const state = header(serverMetadataHeaders.state);
    const incarnation = header(serverMetadataHeaders.incarnation);
    return {
        state: knownStates.find(known => known === state),
        inFlight: parseCount(header(serverMetadataHeaders.inFlight)),
        incarnation: incarnation === "" ? undefined : incarnation,
        bears: parseCount(header(serverMetadataHeaders.bears)),
    };
}

/** How one attempt at a backend server ended. */
export interface AttemptCompletion {
    /** `good`: a complete response of any status; `refused`: no connection; `failed`: no complete response. */
    readonly outcome: "good" | "shed" | "refused" | "failed" | "cancelled";
    readonly metadata: ServerMetadata;
    /** Whether the server may still run the request, as after a lost connection; it then counts until its deadline. */
    readonly mayStillRun: boolean;
}
