import { type ResponseFraming } from "@galenaglade/at-most-once";
import { findHeaders, type RawHeaders, resolveBodyFraming } from "@galenaglade/http-parts";

/**
 * Determines how the end of a response's body is delimited. A body in a transfer coding that was not asked for never
 * counts as whole, like one that is delimited by the end of its connection.
 *
 * @param method - the request's method
 * @param status - the response's status code
 * @param headers - the response's headers
 * @returns the body's framing
 */
export function resolveFraming(method: string, status: number, headers: RawHeaders): ResponseFraming {
    const framing = resolveBodyFraming(method, status, name => findHeaders(headers, name));
    return framing.type === "encoded" ? { type: "untilClose" } : framing;
}
