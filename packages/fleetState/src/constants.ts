/**
 * How long after the store came back an entry that lapsed meanwhile is still believed, in milliseconds. Backend servers
 * that live and reach the store write theirs again within about two seconds, and one that left must be given nothing
 * two seconds after that; the tenth less is for the requests that are on their way.
 */
export const lapsedEntryGraceMs = 1_900;

/**
 * Time without an answer from the store after which it counts as having been away, in milliseconds: one failed call
 * and its repetition, so that a single lost connection doesn't put off news of servers that leave.
 */
export const storeAwayMs = 1_200;

/**
 * How long a gateway whose registration is gone still counts as one, in milliseconds. Shares are dealt by the number
 * of gateways: one that stops counting too early lets the others take its share while it may still use it.
 */
export const departedGatewayMs = 10_000;
