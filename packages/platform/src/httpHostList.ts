import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";
import { type HostEntry, HostList } from "./hostList.js";
import { type PlatformClient } from "./platformClient.js";
import { operations } from "./protocol.js";

/** HTTP client of the platform's host list. */
export class HttpHostList extends HostList {
    readonly #connection: PlatformClient;

    /** @param connection - shared client; closed by its owner */
    constructor(connection: PlatformClient) {
        super();
        this.#connection = connection;
    }

    override async list(): Promise<Either<Failure, readonly HostEntry[]>> {
        const answer = await this.#connection.call(operations.listHosts, {});
        return answer.map(({ hosts }) => hosts);
    }
}
