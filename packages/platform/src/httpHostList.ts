import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";
import { type HostEntry, HostList } from "./hostList.js";
import { type PlatformClient } from "./platformClient.js";
import { operations } from "./protocol.js";

/** HTTP client of the platform's host list. */
export class HttpHostList extends HostList {
    readonly #client: PlatformClient;

    /** @param client - shared client; closed by its owner */
    constructor(client: PlatformClient) {
        super();
        this.#client = client;
    }

    override async list(): Promise<Either<Failure, readonly HostEntry[]>> {
        const response = await this.#client.call(operations.listHosts, {});
        return response.map(({ hosts }) => hosts);
    }
}
