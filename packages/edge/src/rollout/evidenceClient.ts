import { createFailure, type Failure } from "@galenaglade/errors";
import { type ServerAddress } from "@galenaglade/fleet-state";
import { createConnector } from "@galenaglade/http-parts";
import { type EvidenceReport } from "@galenaglade/rollout";
import { type Either, Left, Right } from "purify-ts";
import { Client } from "undici";
import { rolloutReportTimeoutMs, maxPeerResponseBytes } from "../constants.js";
import { type EvidenceResponse, evidenceResponse, evidencePath, evidenceStatus } from "./rolloutMessages.js";

/** Sends reports to coordinators, over one persistent connection to each. */
export class EvidenceClient {
    readonly #clients = new Map<string, Client>();

    /** @returns the coordinator's response, or a failure */
    async report(address: ServerAddress, report: EvidenceReport): Promise<Either<Failure, EvidenceResponse>> {
        const origin = `http://${address.host}:${address.port}`;
        const client = this.#clients.get(origin)
            ?? new Client(origin, {
                connect: createConnector({ timeoutMs: rolloutReportTimeoutMs }),
                maxResponseSize: maxPeerResponseBytes,
            });
        this.#clients.set(origin, client);
        try {
            const res = await client.request({
                method: "POST",
                path: evidencePath,
                headers: { "content-type": "application/json" },
                body: JSON.stringify(report),
                signal: AbortSignal.timeout(rolloutReportTimeoutMs),
            });
            const text = await res.body.text();
            return res.statusCode === evidenceStatus.ok
                ? Right(evidenceResponse.parse(JSON.parse(text)))
                : Left(createFailure("peerUnreachable", `status ${res.statusCode}`));
        }
        catch (err) {
            // The connection may be dead without having been closed, so it isn't reused.
            this.#clients.delete(origin);
            client.destroy().catch(() => undefined);
            return Left(createFailure("peerUnreachable", err instanceof Error ? err.message : String(err)));
        }
    }

    close(): void {
        for (const client of this.#clients.values()) {
            client.destroy().catch(() => undefined);
        }
        this.#clients.clear();
    }
}
