import { type DeepReadonly } from "@galenaglade/configuration";
import * as z from "zod";

/** Path on which a gateway reports whether it reaches the backend servers of a service. */
export const reachabilityPath = "/reach";

/** Query parameter that names the service. */
export const reachabilityServiceParam = "service";

/** Status codes of responses to a reachability query. */
export const reachabilityStatus = Object.freeze({ ok: 200, badRequest: 400 });

/** Response to a reachability query. */
export const reachabilityResponse = z.object({
    /** Whether the responder reaches the service. */
    reaches: z.boolean(),
    /** Names of gateways that reach the service, as far as the responder knows. */
    named: z.array(z.string().max(256)).max(16),
});

/** Response to a reachability query. */
export type ReachabilityResponse = DeepReadonly<z.output<typeof reachabilityResponse>>;
