import { z } from "zod";

/** Protocol version; messages of other versions are ignored. */
export const protocolVersion = 1;

const name = z.string().min(1).max(512);
const life = z.string().min(1).max(64);
const amount = z.number().min(0);
const count = z.int().min(0);

const askEntry = z.object({
    workspace: name,
    perSecond: z.number().positive(),
    burst: amount,
    configVersion: z.number(),
    wanted: count,
    givenBack: count,
});

const grantEntry = z.object({
    granted: count,
    retryAfterMs: amount,
    plentiful: z.boolean(),
    /** Whether the workspace requests more than its whole limit allows. */
    over: z.boolean(),
});

const ask = z.object({
    v: z.literal(protocolVersion),
    type: z.literal("ask"),
    sender: name,
    life,
    seq: count,
    group: count,
    /** Share of each limit that the sender delegates. */
    share: z.number().min(0).max(1),
    /** Latest timestamp received from the allocator, with the process incarnation that it belongs to. */
    echo: z.object({ life, atMs: z.number() }).optional(),
    entries: z.array(askEntry).max(64),
});

const answer = z.object({
    v: z.literal(protocolVersion),
    type: z.literal("answer"),
    sender: name,
    /** Process incarnation of the allocator. */
    life,
    /** Process incarnation of the host that sent the request. */
    askerLife: life,
    seq: count,
    group: count,
    /** The allocator's monotonic time. */
    atMs: z.number(),
    /** Whether the allocator is shutting down: it has dropped all shares and accepts no more. */
    leaving: z.boolean().optional(),
    entries: z.array(grantEntry).max(64),
});

const limitMessage = z.discriminatedUnion("type", [ask, answer]);

/** A request for the tokens of one workspace. */
export type LimitRequestEntry = Readonly<z.infer<typeof askEntry>>;
/** The response to one entry. */
export type LimitResponseEntry = Readonly<z.infer<typeof grantEntry>>;
/** A request for tokens; a heartbeat if it has no entries. */
export type LimitRequestMessage = Readonly<z.infer<typeof ask>>;
/** The allocator's response. */
export type LimitResponseMessage = Readonly<z.infer<typeof answer>>;
/** A message between two hosts, sent as a datagram. */
export type LimitMessage = LimitRequestMessage | LimitResponseMessage;

/** @returns the message; `undefined` if it is invalid */
export function parseLimitMessage(json: unknown): LimitMessage | undefined {
    const read = limitMessage.safeParse(json);
    return read.success ? read.data : undefined;
}
