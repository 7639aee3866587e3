import { type Heartbeat } from "@galenaglade/membership";
import { initTRPC } from "@trpc/server";
import { type PeerHandler } from "./peerCaller.js";
import { coldStartWordSchema, heartbeatSchema, observationQuerySchema, offerSchema } from "./wireSchemas.js";

const trpc = initTRPC.create({ isDev: false });

/**
 * @param handler - answers the calls
 * @returns the procedures that gateways and admin call on each other
 */
export function createPeerRouter(handler: PeerHandler) {
    return trpc.router({
        heartbeat: trpc.procedure
            .input(heartbeatSchema)
            .mutation(({ input }): Heartbeat => handler.heartbeat(input)),
        fetch: trpc.procedure.mutation(() => handler.fetch()),
        offer: trpc.procedure.input(offerSchema).mutation(({ input }) => handler.offer(input)),
        exchangeColdStart: trpc.procedure
            .input(coldStartWordSchema)
            .mutation(({ input }) => handler.exchangeColdStart(input)),
        observe: trpc.procedure
            .input(observationQuerySchema)
            .mutation(({ input }) => handler.observe(input.service)),
    });
}

/** The procedures as a client sees them. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
