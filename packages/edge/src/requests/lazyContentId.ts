import { type RequestBody } from "@galenaglade/http-parts";
import { createContentId, createHeadId } from "./contentId.js";
import { type EdgeRequest } from "./edgeRequest.js";

/** What one request asks of a server, by name. Made when it is asked for: most requests never need it. */
export class LazyContentId {
    readonly #request: EdgeRequest;
    readonly #body: RequestBody;
    #headId: string | undefined;
    #contentId: string | undefined;

    constructor(request: EdgeRequest, body: RequestBody) {
        this.#request = request;
        this.#body = body;
    }

    /** Names all but the body. */
    get headId(): string {
        this.#headId ??= createHeadId(this.#request);
        return this.#headId;
    }

    get contentId(): string {
        this.#contentId ??= createContentId(this.headId, this.#body);
        return this.#contentId;
    }

    /** The content id, where something needed it. */
    get computedContentId(): string | undefined {
        return this.#contentId;
    }
}
