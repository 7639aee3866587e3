import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { createHash } from "node:crypto";

const changeIdPattern = /^[A-Za-z0-9._-]{1,64}$/;
const separator = "#";
const digestLength = 12;

/**
 * Makes the id under which a call's change is stored: the operator's id, and a digest of what the call asks.
 *
 * The failure: a script uses the same id for two calls, such as taking a zone out and bringing it in. The second would
 * be taken for the first sent again, and be answered as done without having been done. With the digest a call is only
 * recognised by its own id and content, so that a repeated call still is, and a different one isn't.
 *
 * @param changeId - as the operator sent it
 * @param call - name of the call
 * @param content - all that the call asks, as JSON can say it
 * @returns the id to store, or `badRequest`
 */
export function createStoredChangeId(changeId: string, call: string, content: unknown): Either<Failure, string> {
    if (!changeIdPattern.test(changeId)) {
        return Left(createFailure("badRequest", "change_id: expected 1 to 64 letters, digits and ._-"));
    }
    const digest = createHash("sha256").update(JSON.stringify([call, content])).digest("hex");
    return Right(`${changeId}${separator}${digest.slice(0, digestLength)}`);
}

/**
 * Finds the operator's part of a stored change id.
 *
 * @param storedChangeId - what {@link createStoredChangeId} made
 * @returns what the operator sent
 */
export function parseOperatorChangeId(storedChangeId: string): string {
    return storedChangeId.split(separator, 1)[0] ?? "";
}
