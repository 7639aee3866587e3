import { ConnectError, type Interceptor } from "@connectrpc/connect";
import { codeToString } from "@connectrpc/connect/protocol-connect";
import { type OperatorService, type Standing } from "@galenaglade/schema";
import { type LogFields, type Logger } from "@galenaglade/telemetry";

/** Calls that change state. They are logged at `info` or `warn`, all others at `debug`. */
const stateChangingCalls: ReadonlySet<string> = new Set<keyof typeof OperatorService.method>([
    "applyConfiguration",
    "takeZoneOut",
    "bringZoneIn",
    "forgetHost",
]);

/**
 * Creates an interceptor that logs every call when it ends, so that operators' changes, and whether they came into
 * force, can be reconstructed later.
 *
 * @param logger - the process's logger
 * @returns the interceptor
 */
export function createCallLog(logger: Logger): Interceptor {
    return next => async req => {
        const level = (changeLevel: "info" | "warn") =>
            stateChangingCalls.has(req.method.localName) ? changeLevel : "debug";
        const request = {
            call: req.method.name,
            ...(req.stream ? {} : describeRequest(req.method.localName, req.message as ChangeFields)),
        };
        try {
            const res = await next(req);
            const fields = { ...request, ...(res.stream ? {} : describeResponse(res.message as StandingField)) };
            logger[level("info")]("call answered", fields);
            return res;
        }
        catch (err) {
            const { code, rawMessage } = ConnectError.from(err);
            const fields = { ...request, code: codeToString(code), detail: rawMessage };
            logger[level("warn")]("call failed", fields);
            throw err;
        }
    };
}

/** Fields of requests that change state; other requests may have some of them. */
interface ChangeFields {
    readonly name?: string;
    readonly changeId?: string;
    readonly expectedRevision?: number;
}

/** Field of responses to changes of the configuration; other responses may have it too. */
interface StandingField {
    readonly standing?: Standing;
}

function describeRequest(call: string, message: ChangeFields): LogFields {
    if (call === "forgetHost") {
        return { host: message.name };
    }
    return { zone: message.name, changeId: message.changeId, expectedRevision: message.expectedRevision };
}

function describeResponse({ standing }: StandingField): LogFields {
    return standing === undefined ? {} : { revision: standing.revision, inForce: standing.inForce };
}
