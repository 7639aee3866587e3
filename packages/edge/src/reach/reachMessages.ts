import { type DeepReadonly } from "@galenaglade/configuration";
import * as z from "zod";

/** Path on which a gateway says whether it reaches the backend servers of a service. */
export const reachPath = "/reach";

/** Query parameter that names the service. */
export const reachServiceParameter = "service";

/** Statuses of answers to that question. */
export const reachStatus = Object.freeze({ told: 200, malformed: 400 });

/** What a gateway says of its reach. */
export const reachAnswer = z.object({
    reaches: z.boolean(),
    /** Gateways that reach the service, as far as it knows. */
    named: z.array(z.string().max(256)).max(16),
});

/** What a gateway says of its reach. */
export type ReachAnswer = DeepReadonly<z.output<typeof reachAnswer>>;
