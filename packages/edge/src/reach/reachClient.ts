import { type ServerAddress } from "@galenaglade/fleet-state";
import { parseJson } from "@galenaglade/http-parts";
import { Client } from "undici";
import { reachabilityConnectTimeoutMs, reachabilityQueryTimeoutMs } from "../constants.js";
import { reachAnswer, type ReachAnswer, reachPath, reachServiceParameter, reachStatus } from "./reachMessages.js";

/** Asks other gateways whether they reach a service. */
export abstract class PeerReach {
    /** @returns what the gateway at an address says; `undefined` where it doesn't answer, or doesn't know the question */
    abstract ask(address: ServerAddress, service: string): Promise<ReachAnswer | undefined>;
}

/** Asks over a connection of its own for each question: they are rare. */
export class ReachClient extends PeerReach {
    override async ask({ host, port }: ServerAddress, service: string): Promise<ReachAnswer | undefined> {
        const client = new Client(`http://${host}:${port}`, { connect: { timeout: reachabilityConnectTimeoutMs } });
        try {
            const { statusCode, body } = await client.request({
                method: "GET",
                path: reachPath,
                query: { [reachServiceParameter]: service },
                signal: AbortSignal.timeout(reachabilityQueryTimeoutMs),
            });
            const parsed = reachAnswer.safeParse(parseJson(await body.text()));
            return statusCode === reachStatus.told && parsed.success ? parsed.data : undefined;
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
