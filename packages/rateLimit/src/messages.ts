import { z } from "zod";

/** Version of the messages; hosts of another version are not understood. */
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
    /** Whether the workspace asks for more than its whole limit allows. */
    over: z.boolean(),
});

const ask = z.object({
    v: z.literal(protocolVersion),
    type: z.literal("ask"),
    sender: name,
    life,
    seq: count,
    group: count,
    /** The part of each limit that the sender delegates. */
    share: z.number().min(0).max(1),
    /** Latest time of the allocator that the sender has received, with the life that it belongs to. */
    echo: z.object({ life, atMs: z.number() }).optional(),
    entries: z.array(askEntry).max(64),
});

const answer = z.object({
    v: z.literal(protocolVersion),
    type: z.literal("answer"),
    sender: name,
    /** The allocator's. */
    life,
    /** The life that asked. */
    askerLife: life,
    seq: count,
    group: count,
    /** The allocator's monotonic time. */
    atMs: z.number(),
    /** The allocator is going away: it has dropped all shares, and holds none from now on. */
    leaving: z.boolean().optional(),
    entries: z.array(grantEntry).max(64),
});

const limitMessage = z.discriminatedUnion("type", [ask, answer]);

/** One workspace in a token request. */
export type LimitRequestEntry = Readonly<z.infer<typeof askEntry>>;
/** The answer to one entry. */
export type LimitResponseEntry = Readonly<z.infer<typeof grantEntry>>;
/** A token request; without entries a heartbeat. */
export type LimitRequestMessage = Readonly<z.infer<typeof ask>>;
/** What the allocator answers. */
export type LimitResponseMessage = Readonly<z.infer<typeof answer>>;
/** A datagram between two hosts. */
export type LimitMessage = LimitRequestMessage | LimitResponseMessage;

/** @returns the message, if it is one */
export function parseLimitMessage(json: unknown): LimitMessage | undefined {
    const read = limitMessage.safeParse(json);
    return read.success ? read.data : undefined;
}
