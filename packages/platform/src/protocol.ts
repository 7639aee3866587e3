import * as z from "zod";

/**
 * HTTP protocol of the platform's service: each operation is a POST request with a JSON body and a JSON response. The
 * client and the stand-in share this table, so that they can't diverge.
 */

/** Request header with the name of the client. */
export const clientHeader = "x-client";

const keyValue = z.object({
    key: z.string(),
    value: z.string(),
    modifiedRevision: z.number().int().nonnegative(),
    leaseId: z.string().optional(),
});

const lease = z.object({ id: z.string(), ttlMs: z.number().positive() });

const hostEntry = z.object({
    name: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    state: z.enum(["live", "leaving"]),
});

/** One operation of the platform's service. */
export interface Operation<Req, Res> {
    readonly path: string;
    /** Whether the operation is a write, whose outcome is unknown when its response is lost. */
    readonly writes: boolean;
    readonly request: z.ZodType<Req>;
    readonly response: z.ZodType<Res>;
}

function createOperation<Req, Res>(
    path: string,
    writes: boolean,
    request: z.ZodType<Req>,
    response: z.ZodType<Res>,
): Operation<Req, Res> {
    return Object.freeze({ path, writes, request, response: response });
}

/** All operations of the platform's service. */
export const operations = Object.freeze({
    get: createOperation(
        "/kv/get",
        false,
        z.object({ key: z.string() }),
        z.object({ entry: keyValue.optional() }),
    ),
    list: createOperation(
        "/kv/list",
        false,
        z.object({ prefix: z.string() }),
        z.object({ revision: z.number().int(), entries: z.array(keyValue) }),
    ),
    compareAndSwap: createOperation(
        "/kv/compare-and-swap",
        true,
        z.object({
            key: z.string(),
            expectedRevision: z.number().int().nonnegative(),
            value: z.string().max(1_048_576).optional(),
            leaseId: z.string().optional(),
        }),
        z.discriminatedUnion("swapped", [
            z.object({ swapped: z.literal(true), revision: z.number().int() }),
            z.object({ swapped: z.literal(false), current: keyValue.optional() }),
        ]),
    ),
    watch: createOperation(
        "/kv/watch",
        false,
        z.object({ prefix: z.string(), afterRevision: z.number().int(), waitMs: z.number().nonnegative() }),
        z.object({ revision: z.number().int(), changed: z.array(keyValue), deleted: z.array(z.string()) }),
    ),
    grantLease: createOperation("/leases/grant", true, z.object({ ttlMs: z.number().positive() }), lease),
    renewLease: createOperation("/leases/renew", true, z.object({ id: z.string() }), lease),
    revokeLease: createOperation("/leases/revoke", true, z.object({ id: z.string() }), z.object({})),
    listHosts: createOperation("/hosts/list", false, z.object({}), z.object({ hosts: z.array(hostEntry) })),
});

/** Schema of the host list that is given to the stand-in. */
export const hostListSchema = z.array(hostEntry);
