import { type RequestBody } from "@galenaglade/http-parts";
import { createContentId, createHeadId } from "./contentId.js";
import { type EdgeRequest } from "./edgeRequest.js";

/** Content id of one request, computed on first use: most requests never need it. */
export class LazyContentId {
    readonly #request: EdgeRequest;
    readonly #body: RequestBody;
    #headId: string | undefined;
    #contentId: string | undefined;

    constructor(request: EdgeRequest, body: RequestBody) {
        this.#request = request;
        this.#body = body;
    }

    /** Id of the request without its body. */
    get headId(): string {
        this.#headId ??= createHeadId(this.#request);
        return this.#headId;
    }

    get contentId(): string {
        this.#contentId ??= createContentId(this.headId, this.#body);
        return this.#contentId;
    }

    /** The content id if it has been computed, otherwise `undefined`. */
    get computedContentId(): string | undefined {
        return this.#contentId;
    }
}
