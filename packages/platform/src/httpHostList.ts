import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";
import { type HostEntry, HostList } from "./hostList.js";
import { type PlatformClient } from "./platformClient.js";
import { operations } from "./protocol.js";

/** The platform's host list over HTTP. */
export class HttpHostList extends HostList {
    readonly #connection: PlatformClient;

    /** @param connection - stays the maker's to close */
    constructor(connection: PlatformClient) {
        super();
        this.#connection = connection;
    }

    override async list(): Promise<Either<Failure, readonly HostEntry[]>> {
        const answer = await this.#connection.call(operations.listHosts, {});
        return answer.map(({ hosts }) => hosts);
    }
}
