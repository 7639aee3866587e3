import { type ServerAddress } from "@galenaglade/fleet-state";
import { createConnector, parseJson } from "@galenaglade/http-parts";
import { Client } from "undici";
import { reachabilityConnectTimeoutMs, maxPeerResponseBytes, reachabilityQueryTimeoutMs } from "../constants.js";
import {
    reachabilityResponse,
    type ReachabilityResponse,
    reachabilityPath,
    reachabilityServiceParam,
    reachabilityStatus,
} from "./reachabilityMessages.js";

/** Client that queries other gateways whether they reach a service. */
export abstract class ReachabilityClient {
    /** @returns the response of the gateway at an address; `undefined` if there is none or it is not understood */
    abstract fetchReachability(address: ServerAddress, service: string): Promise<ReachabilityResponse | undefined>;
}

/** Opens a new connection for each query, as queries are rare. */
export class HttpReachabilityClient extends ReachabilityClient {
    override async fetchReachability(
        { host, port }: ServerAddress,
        service: string,
    ): Promise<ReachabilityResponse | undefined> {
        const client = new Client(`http://${host}:${port}`, {
            connect: createConnector({ timeoutMs: reachabilityConnectTimeoutMs }),
            maxResponseSize: maxPeerResponseBytes,
        });
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
            // A gateway that doesn't respond is queried again later; the caller logs the result of the whole round.
            return undefined;
        }
        finally {
            client.destroy().catch(() => undefined);
        }
    }
}
