import { type ServerAddress } from "@galenaglade/fleet-state";
import { parseJson } from "@galenaglade/http-parts";
import { Client } from "undici";
import { reachabilityConnectTimeoutMs, reachabilityQueryTimeoutMs } from "../constants.js";
import {
    reachabilityResponse,
    type ReachabilityResponse,
    reachabilityPath,
    reachabilityServiceParam,
    reachabilityStatus,
} from "./reachabilityMessages.js";

/** Asks other gateways whether they reach a service. */
export abstract class ReachabilityClient {
    /** @returns what the gateway at an address says; `undefined` where it doesn't answer, or doesn't know the question */
    abstract fetchReachability(address: ServerAddress, service: string): Promise<ReachabilityResponse | undefined>;
}

/** Asks over a connection of its own for each question: they are rare. */
export class HttpReachabilityClient extends ReachabilityClient {
    override async fetchReachability(
        { host, port }: ServerAddress,
        service: string,
    ): Promise<ReachabilityResponse | undefined> {
        const client = new Client(`http://${host}:${port}`, { connect: { timeout: reachabilityConnectTimeoutMs } });
        try {
            const { statusCode, body } = await client.request({
                method: "GET",
                path: reachabilityPath,
                query: { [reachabilityServiceParam]: service },
                signal: AbortSignal.timeout(reachabilityQueryTimeoutMs),
            });
            const parsed = reachabilityResponse.safeParse(parseJson(await body.text()));
            return statusCode === reachabilityStatus.ok && parsed.success ? parsed.data : undefined;
        }
        catch {
            // Whoever doesn't answer is asked again later; the caller logs what came of the inquiry.
            return undefined;
        }
        finally {
            client.destroy().catch(() => undefined);
        }
    }
}
