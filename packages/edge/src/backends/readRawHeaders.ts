import { type RawHeaders } from "@galenaglade/http-parts";
import { type Dispatcher } from "undici";

/** Decodes header values as Latin-1, as they are encoded when forwarded, so that no bytes change. */
export function readRawHeaders(raw: Dispatcher.DispatchController["rawHeaders"]): RawHeaders {
    if (!Array.isArray(raw)) {
        return [];
    }
    return raw.map(part => typeof part === "string" ? part : part.toString("latin1"));
}
