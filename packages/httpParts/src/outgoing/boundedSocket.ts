import { Socket } from "node:net";
import { type FramingLimits, ResponseFraming, ResponseFramingError } from "./responseFraming.js";

/**
 * A client's socket that is destroyed with a {@link ResponseFramingError} once a response on it exceeds a limit, before
 * the HTTP parser gets the bytes.
 */
export class BoundedSocket extends Socket {
    readonly #framing: ResponseFraming;

    /** @param limits - of the parts of a response that aren't payload */
    constructor(limits: FramingLimits) {
        super();
        this.#framing = new ResponseFraming(limits);
    }

    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (this.destroyed || !Buffer.isBuffer(chunk)) {
            return super.push(chunk, encoding);
        }
        try {
            this.#framing.onBytes(chunk);
        }
        catch (err) {
            if (!(err instanceof ResponseFramingError)) {
                throw err;
            }
            this.destroy(err);
            return false;
        }
        return super.push(chunk, encoding);
    }
}
