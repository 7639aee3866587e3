import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { createHash } from "node:crypto";

const changeIdPattern = /^[A-Za-z0-9._-]{1,64}$/;
const separator = "#";
const digestLength = 12;

/**
 * Creates the id under which a change is stored: the operator's change id and a digest of the call's content.
 *
 * Without the digest, a script that uses one id for two calls, such as taking a zone out and bringing it in, would have
 * its second call treated as a retry of the first and reported as done without taking effect. With the digest, only a
 * call with the same id and the same content counts as a retry.
 *
 * @param changeId - the operator's change id
 * @param call - name of the call
 * @param content - all parameters of the call that define the change, as JSON
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
 * Extracts the operator's change id from a stored change id.
 *
 * @param storedChangeId - result of {@link createStoredChangeId}
 * @returns the change id as the operator sent it
 */
export function parseOperatorChangeId(storedChangeId: string): string {
    return storedChangeId.split(separator, 1)[0] ?? "";
}
