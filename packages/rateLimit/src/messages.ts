import { z } from "zod";

/** Protocol version; messages of other versions are ignored. */
export const protocolVersion = 1;

const name = z.string().min(1).max(512);
const incarnation = z.string().min(1).max(64);
/** Bounds under which sums and products of several numbers stay finite and exact enough. */
const maxAmount = 1e12;
const minRatePerSecond = 1e-6;
const amount = z.number().min(0).max(maxAmount);
const count = z.int().min(0);
const monotonicMs = z.number().min(0).max(maxAmount);

const limitRequestEntry = z.object({
    workspace: name,
    perSecond: z.number().min(minRatePerSecond).max(maxAmount),
    burst: amount,
    configVersion: count,
    wanted: count,
    givenBack: count,
});

const limitResponseEntry = z.object({
    granted: count,
    retryAfterMs: amount,
    plentiful: z.boolean(),
    /** Whether the workspace requests more than its whole limit allows. */
    over: z.boolean(),
});

const limitRequest = z.object({
    v: z.literal(protocolVersion),
    type: z.literal("ask"),
    sender: name,
    life: incarnation,
    seq: count,
    group: count,
    /** Share of each limit that the sender delegates. */
    share: z.number().min(0).max(1),
    /** Latest timestamp received from the allocator, with the process incarnation that it belongs to. */
    echo: z.object({ life: incarnation, atMs: monotonicMs }).optional(),
    entries: z.array(limitRequestEntry).max(64),
});

const limitResponse = z.object({
    v: z.literal(protocolVersion),
    type: z.literal("answer"),
    sender: name,
    /** Process incarnation of the allocator. */
    life: incarnation,
    /** Process incarnation of the host that sent the request. */
    askerLife: incarnation,
    seq: count,
    group: count,
    /** The allocator's monotonic time. */
    atMs: monotonicMs,
    /** Whether the allocator is shutting down: it has dropped all shares and accepts no more. */
    leaving: z.boolean().optional(),
    entries: z.array(limitResponseEntry).max(64),
});

const limitMessage = z.discriminatedUnion("type", [limitRequest, limitResponse]);

/** A request for the tokens of one workspace. */
export type LimitRequestEntry = Readonly<z.infer<typeof limitRequestEntry>>;
/** The response to one entry. */
export type LimitResponseEntry = Readonly<z.infer<typeof limitResponseEntry>>;
/** A request for tokens; a heartbeat if it has no entries. */
export type LimitRequestMessage = Readonly<z.infer<typeof limitRequest>>;
/** The allocator's response. */
export type LimitResponseMessage = Readonly<z.infer<typeof limitResponse>>;
/** A message between two hosts, sent as a datagram. */
export type LimitMessage = LimitRequestMessage | LimitResponseMessage;

/** @returns the message; `undefined` if it is invalid */
export function parseLimitMessage(json: unknown): LimitMessage | undefined {
    const result = limitMessage.safeParse(json);
    return result.success ? result.data : undefined;
}
