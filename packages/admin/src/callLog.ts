import { ConnectError, type Interceptor } from "@connectrpc/connect";
import { codeToString } from "@connectrpc/connect/protocol-connect";
import { type OperatorService, type Standing } from "@galenaglade/schema";
import { type LogFields, type Logger } from "@galenaglade/telemetry";

/** Calls that change something; they are logged at `info`, the others at `debug`. */
const changes: ReadonlySet<string> = new Set<keyof typeof OperatorService.method>([
    "applyConfiguration",
    "takeZoneOut",
    "bringZoneIn",
    "forgetHost",
]);

/**
 * Logs every call when it ends. Nobody watches at night: what operators changed, and whether it came into force, has to
 * be found in the morning.
 *
 * @param logger - the process's log
 * @returns an interceptor for the server's calls
 */
export function createCallLog(logger: Logger): Interceptor {
    return next => async req => {
        const level = (ifChange: "info" | "warn") => changes.has(req.method.localName) ? ifChange : "debug";
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

/** What requests of changes have, and others may. */
interface ChangeFields {
    readonly name?: string;
    readonly changeId?: string;
    readonly expectedRevision?: number;
}

/** What responses to changes have, and others may. */
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
