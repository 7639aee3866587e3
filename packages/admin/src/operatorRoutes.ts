import { type MessageInitShape } from "@bufbuild/protobuf";
import { type ConnectRouter, type HandlerContext } from "@connectrpc/connect";
import { createFailure } from "@galenaglade/errors";
import {
    BackendServerState,
    fromConfigurationMessage,
    OperatorService,
    toConfigurationMessage,
    toZoneStateEnum,
    type WatchChangesResponseSchema,
} from "@galenaglade/schema";
import { type Either } from "purify-ts";
import { type CallFailure, toCallFailure, toConnectError, toFailureInit } from "./callFailure.js";
import { parseOperatorChangeId } from "./changeId.js";
import { type ListedServer, type OperatorCalls } from "./operatorCalls.js";
import { type StandingEvent, type StandingFeed } from "./standingFeed.js";

/**
 * Creates the routes of the operators' API.
 *
 * @param calls - implements all calls but WatchChanges
 * @param feed - provides the events of WatchChanges
 * @returns a function that registers the routes with a Connect router
 */
export function createOperatorRoutes(calls: OperatorCalls, feed: StandingFeed): (router: ConnectRouter) => void {
    return router => {
        router.service(OperatorService, {
            async applyConfiguration({ changeId, expectedRevision, configuration }) {
                const declared = configuration && fromConfigurationMessage(configuration);
                const change = { changeId, expectedRevision, configuration: declared };
                return { standing: unwrap(await calls.applyConfiguration(change)) };
            },
            async getConfiguration() {
                const { revision, changeId, configuration } = unwrap(await calls.getConfiguration());
                return {
                    revision,
                    changeId: parseOperatorChangeId(changeId),
                    configuration: revision === 0 ? undefined : toConfigurationMessage(configuration),
                };
            },
            async takeZoneOut({ name, changeId, expectedRevision }) {
                const change = { name, state: "out", changeId, expectedRevision } as const;
                return { standing: unwrap(await calls.changeZone(change)) };
            },
            async bringZoneIn({ name, changeId, expectedRevision }) {
                const change = { name, state: "in", changeId, expectedRevision } as const;
                return { standing: unwrap(await calls.changeZone(change)) };
            },
            async listHosts() {
                return { hosts: unwrap(await calls.listHosts()) };
            },
            async listBackendServers({ service }) {
                const list = unwrap(await calls.listBackendServers(service));
                return {
                    revision: list.revision,
                    backendServers: list.servers.map(toStatusInit),
                    unansweredGateways: [...list.unanswered],
                    omittedObservations: list.omitted,
                    observationFailure: list.observationFailure?.detail ?? "",
                };
            },
            async forgetHost({ name }) {
                unwrap(await calls.forgetHost(name));
                return {};
            },
            async getStanding() {
                return { standing: unwrap(await calls.getStanding()) };
            },
            watchChanges: (_, context) => watchChanges(feed, context),
        });
    };
}

async function* watchChanges(feed: StandingFeed, { signal }: HandlerContext) {
    if (feed.isFull) {
        throw toConnectError(toCallFailure(createFailure("overloaded", "too many WatchChanges calls")));
    }
    for await (const event of feed.watch(signal)) {
        yield toWatchInit(event);
    }
    // The watch ends when the client cancels it or this process stops. Throwing lets the client distinguish a stop from
    // the regular end of a stream.
    signal.throwIfAborted();
}

function toWatchInit(event: StandingEvent): MessageInitShape<typeof WatchChangesResponseSchema> {
    return event.caseOf<MessageInitShape<typeof WatchChangesResponseSchema>>({
        Left: failure => ({ event: { case: "failure", value: toFailureInit(failure) } }),
        Right: standing => ({ event: { case: "standing", value: standing } }),
    });
}

function unwrap<T>(answer: Either<CallFailure, T>): T {
    return answer.caseOf({
        Left: failure => {
            throw toConnectError(failure);
        },
        Right: value => value,
    });
}

const serverStates = {
    cold: BackendServerState.COLD,
    warm: BackendServerState.WARM,
    leaving: BackendServerState.LEAVING,
} as const;

function toStatusInit({ service, server, zoneState, hostState, observations }: ListedServer) {
    return {
        service,
        backendServer: server,
        zoneState: toZoneStateEnum(zoneState),
        hostState,
        observations: observations.map(observation => ({
            gateway: observation.gateway,
            state: observation.state === undefined ? BackendServerState.UNSPECIFIED : serverStates[observation.state],
            inFlight: observation.ownInFlight,
            reportedInFlight: observation.reportedInFlight,
            reportedAgeMs: observation.reportedAgeMs,
        })),
    };
}
