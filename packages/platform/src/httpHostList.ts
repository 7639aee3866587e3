import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";
import { type HostEntry, HostList } from "./hostList.js";
import { type PlatformConnection } from "./platformConnection.js";
import { operations } from "./protocol.js";

/** The platform's host list over HTTP. */
export class HttpHostList extends HostList {
    readonly #connection: PlatformConnection;

    /** @param connection - stays the maker's to close */
    constructor(connection: PlatformConnection) {
        super();
        this.#connection = connection;
    }

    override async list(): Promise<Either<Failure, readonly HostEntry[]>> {
        const answer = await this.#connection.call(operations.listHosts, {});
        return answer.map(({ hosts }) => hosts);
    }
}
