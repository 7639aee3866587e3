import { type RawHeaders } from "@galenaglade/http-parts";
import { type Dispatcher } from "undici";

/** Header values are bytes; read in any other way than the one in which they are written, some would change. */
export function readRawHeaders(raw: Dispatcher.DispatchController["rawHeaders"]): RawHeaders {
    if (!Array.isArray(raw)) {
        return [];
    }
    return raw.map(part => typeof part === "string" ? part : part.toString("latin1"));
}
