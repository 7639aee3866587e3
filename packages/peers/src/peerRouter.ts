import { type Heartbeat } from "@galenaglade/membership";
import { initTRPC } from "@trpc/server";
import { type PeerHandler } from "./peerCaller.js";
import { coldStartHeartbeatSchema, heartbeatSchema, observationQuerySchema, offerSchema } from "./wireSchemas.js";

const trpc = initTRPC.create({ isDev: false });

/**
 * @param handler - handles the calls
 * @returns router with the procedures that gateways call on each other and the admin process calls on gateways
 */
export function createPeerRouter(handler: PeerHandler) {
    return trpc.router({
        heartbeat: trpc.procedure
            .input(heartbeatSchema)
            .mutation(({ input }): Heartbeat => handler.heartbeat(input)),
        fetch: trpc.procedure.mutation(() => handler.fetch()),
        offer: trpc.procedure.input(offerSchema).mutation(({ input }) => handler.offer(input)),
        exchangeColdStart: trpc.procedure
            .input(coldStartHeartbeatSchema)
            .mutation(({ input }) => handler.exchangeColdStart(input)),
        observe: trpc.procedure
            .input(observationQuerySchema)
            .mutation(({ input }) => handler.observe(input.service)),
    });
}

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
