import { createFailure, type Failure } from "@galenaglade/errors";
import { type ServerAddress } from "@galenaglade/fleet-state";
import { type EvidenceReport } from "@galenaglade/rollout";
import { type Either, Left, Right } from "purify-ts";
import { Client } from "undici";
import { rolloutReportTimeoutMs } from "../constants.js";
import { type EvidenceResponse, evidenceResponse, evidencePath, evidenceStatus } from "./rolloutMessages.js";

/** Reports to coordinators, over one kept connection to each. */
export class EvidenceClient {
    readonly #clients = new Map<string, Client>();

    /** @returns the coordinator's answer, or why there is none */
    async report(address: ServerAddress, report: EvidenceReport): Promise<Either<Failure, EvidenceResponse>> {
        const origin = `http://${address.host}:${address.port}`;
        const client = this.#clients.get(origin)
            ?? new Client(origin, { connect: { timeout: rolloutReportTimeoutMs } });
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
            // A connection that may have gone silent for good must not be used again.
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
