import { type DeepReadonly } from "@galenaglade/configuration";
import * as z from "zod";

/** Path on which a gateway says whether it reaches the backend servers of a service. */
export const reachabilityPath = "/reach";

/** Query parameter that names the service. */
export const reachabilityServiceParam = "service";

/** Statuses of answers to that question. */
export const reachabilityStatus = Object.freeze({ ok: 200, badRequest: 400 });

/** What a gateway says of its reach. */
export const reachabilityResponse = z.object({
    reaches: z.boolean(),
    /** Gateways that reach the service, as far as it knows. */
    named: z.array(z.string().max(256)).max(16),
});

/** What a gateway says of its reach. */
export type ReachabilityResponse = DeepReadonly<z.output<typeof reachabilityResponse>>;
