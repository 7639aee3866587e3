import {
    type Configuration,
    type ConfigurationInput,
    keepZoneStates,
    resolveConfiguration,
    type ConfigurationRevision,
    setZoneState,
    type ZoneState,
} from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type ChangeStatus, type ChangeCoordinator } from "@galenaglade/membership";
import { type ServerObservation } from "@galenaglade/peers";
import { type HostList } from "@galenaglade/platform";
import { HostState } from "@galenaglade/schema";
import { createServerId, type ServerId } from "@galenaglade/routing";
import { type Either, Left, Right } from "purify-ts";
import { type BackendServerObserver, type GatewayObservations } from "./backendServerObserver.js";
import { type CallFailure, createInvalidConfigurationFailure, toCallFailure } from "./callFailure.js";
import { createStoredChangeId } from "./changeId.js";
import { maximumConfigurationBytes, maxZoneChangeAttempts } from "./constants.js";
import { findHostState, type StandingInit, toHostInits, toStandingInit } from "./standingMessages.js";

/** Options and dependencies of {@link OperatorCalls}. */
export interface OperatorCallsOptions {
    readonly coordinator: ChangeCoordinator;
    readonly hosts: HostList;
    /** If `undefined`, backend servers are listed as declared, without observations. */
    readonly observer?: BackendServerObserver | undefined;
    /** Maximum time that a call waits for its change to come into force, in milliseconds. */
    readonly acceptWaitMs: number;
}

/** An operator's change of an availability zone's state. */
export interface ZoneChange {
    readonly name: string;
    readonly state: ZoneState;
    readonly changeId: string;
    /** If `undefined`, the change is applied to whatever revision is current. */
    readonly expectedRevision: number | undefined;
}

/** An operator's replacement of the configuration. */
export interface ConfigurationChange {
    readonly changeId: string;
    readonly expectedRevision: number | undefined;
    readonly configuration: ConfigurationInput | undefined;
}

/** A declared backend server with the gateways' observations of it. */
export interface ListedServer {
    readonly service: string;
    readonly server: Configuration["services"][number]["backendServers"][number];
    readonly zoneState: ZoneState;
    readonly hostState: HostState;
    readonly observations: readonly GatewayObservation[];
}

/** One gateway's observation of one backend server. */
export interface GatewayObservation extends ServerObservation {
    /** Name of the gateway's host. */
    readonly gateway: string;
}

/** The declared backend servers with the gateways' observations. */
export interface ServerList {
    /** The configuration revision that declares them. */
    readonly revision: number;
    readonly servers: readonly ListedServer[];
    /** Names of the registered gateways that sent no usable response. */
    readonly unanswered: readonly string[];
    /** Number of observations that gateways omitted to limit message sizes. */
    readonly omitted: number;
    /** Why no gateway could be queried. */
    readonly observationFailure: Failure | undefined;
}

type Answer<T> = Promise<Either<CallFailure, T>>;

/** Protocol-independent implementation of the operators' API. Stateless, so any instance can serve any call. */
export class OperatorCalls {
    readonly #options: OperatorCallsOptions;

    constructor(options: OperatorCallsOptions) {
        this.#options = options;
    }

    /**
     * Replaces the configuration.
     *
     * @param change - the change; its expected revision is required
     * @returns the standing of the change on the gateways
     */
    async applyConfiguration(change: ConfigurationChange): Answer<StandingInit> {
        const { changeId, expectedRevision, configuration } = change;
        if (expectedRevision === undefined || configuration === undefined) {
            const missing = configuration === undefined ? "configuration" : "expected_revision";
            return Left(toCallFailure(createFailure("badRequest", `${missing}: missing`)));
        }
        const storedId = createStoredChangeId(changeId, "ApplyConfiguration", configuration);
        if (storedId.isLeft()) {
            return Left(toCallFailure(storedId.extract()));
        }
        const current = await this.#options.coordinator.read();
        if (current.isLeft()) {
            return Left(toCallFailure(current.extract()));
        }
        const resolved = resolveWithCurrentZones(configuration, current.unsafeCoerce());
        if (resolved.isLeft()) {
            return Left(resolved.extract());
        }
        const next = resolved.unsafeCoerce();
        const applied = await this.#apply(storedId.unsafeCoerce(), expectedRevision, next);
        if (applied.isLeft()) {
            return Left(await this.#toCallFailure(applied.extract()));
        }
        return Right(await this.#toStanding(applied.unsafeCoerce()));
    }

    /**
     * Takes an availability zone out or brings it in.
     *
     * Concurrent zone changes must all take effect, but the store accepts only one of two conflicting writes. The other
     * call reads again and reapplies its change on the new revision, under the same change id, so that an earlier write
     * of its own whose response was lost is recognised and not repeated.
     *
     * @param change - the change
     * @returns the standing of the change on the gateways
     */
    async changeZone(change: ZoneChange): Answer<StandingInit> {
        const storedId = createStoredChangeId(change.changeId, "zone", [change.name, change.state]);
        if (storedId.isLeft()) {
            return Left(toCallFailure(storedId.extract()));
        }
        let lastFailure: Failure | undefined;
        for (let i = 0; i < maxZoneChangeAttempts; i++) {
            const attempt = await this.#tryZoneChange(change, storedId.unsafeCoerce());
            if (attempt.isRight()) {
                return Right(await this.#toStanding(attempt.unsafeCoerce()));
            }
            lastFailure = attempt.extract() as Failure;
            if (lastFailure.kind !== "revisionConflict" || change.expectedRevision !== undefined) {
                break;
            }
        }
        return Left(await this.#toCallFailure(lastFailure ?? createFailure("internal", "no try was made")));
    }

    async #tryZoneChange(change: ZoneChange, storedId: string): Promise<Either<Failure, ChangeStatus>> {
        const current = await this.#options.coordinator.read();
        if (current.isLeft()) {
            return Left(current.extract());
        }
        const { revision, configuration } = current.unsafeCoerce();
        // Written even if the zone is already in that state: the write makes a retry of this call recognisable, and
        // the response waits until the state is in force.
        const next = setZoneState(configuration, change.name, change.state);
        if (next.isLeft()) {
            return Left(next.extract());
        }
        return this.#apply(storedId, change.expectedRevision ?? revision, next.unsafeCoerce());
    }

    /**
     * Reads the current configuration.
     *
     * @returns the configuration; revision 0 if none was ever written
     */
    async getConfiguration(): Answer<ConfigurationRevision> {
        const current = await this.#options.coordinator.read();
        return current.mapLeft(toCallFailure);
    }

    /**
     * Reads the standing of the current configuration.
     *
     * @returns its standing on the gateways
     */
    async getStanding(): Answer<StandingInit> {
        const acceptance = await this.#options.coordinator.changeStatus();
        if (acceptance.isLeft()) {
            return Left(toCallFailure(acceptance.extract()));
        }
        return Right(await this.#toStanding(acceptance.unsafeCoerce()));
    }

    /**
     * Lists hosts with the gateways on them.
     *
     * @returns initial values of Host messages
     */
    async listHosts(): Answer<ReturnType<typeof toHostInits>> {
        const [hosts, acceptance] = await Promise.all([
            this.#options.hosts.list(),
            this.#options.coordinator.changeStatus(),
        ]);
        const joined = hosts.chain(list => acceptance.map(({ gateways }) => toHostInits(list, gateways)));
        return joined.mapLeft(toCallFailure);
    }

    /**
     * Lists the declared backend servers.
     *
     * @param serviceName - limits the list to this service; empty for all services
     * @returns the servers with the gateways' observations; `notFound` if the service isn't declared
     */
    async listBackendServers(serviceName: string): Answer<ServerList> {
        const current = await this.#options.coordinator.read();
        if (current.isLeft()) {
            return Left(toCallFailure(current.extract()));
        }
        const { revision, configuration } = current.unsafeCoerce();
        const services = configuration.services.filter(service => serviceName === "" || service.name === serviceName);
        if (serviceName !== "" && services.length === 0) {
            return Left(toCallFailure(createFailure("notFound", `service ${serviceName} is not declared`)));
        }
        // A failure of either doesn't fail the call: the declared servers are listed anyway, with the gaps indicated.
        const [observed, listed] = await Promise.all([
            this.#options.observer?.observe(serviceName === "" ? undefined : serviceName) ?? Right(noObservations),
            this.#options.hosts.list(),
        ]);
        const { answered, unanswered } = observed.orDefault(noObservations);
        const observations = groupByServer(answered);
        const hosts = listed.toMaybe().extract();
        const zonesOut = new Set(
            configuration.availabilityZones.filter(zone => zone.state === "out").map(({ name }) => name),
        );
        const servers = services.flatMap(service =>
            service.backendServers.map((server): ListedServer => ({
                service: service.name,
                server,
                zoneState: zonesOut.has(server.availabilityZone) ? "out" : "in",
                hostState: hosts === undefined ? HostState.UNSPECIFIED : findHostState(hosts, server.address),
                observations: observations.get(createServerId(service.name, server.name)) ?? [],
            }))
        );
        return Right({
            revision,
            servers,
            unanswered,
            omitted: answered.reduce((sum, { omitted }) => sum + omitted, 0),
            observationFailure: observed.swap().toMaybe().extract(),
        });
    }

    /**
     * Removes the gateway of a lost host, on the operator's confirmation that it no longer runs.
     *
     * @param name - name of the host
     * @returns nothing; `badRequest` if the gateway is alive, `notFound` if no gateway has this name
     */
    async forgetHost(name: string): Answer<void> {
        if (name === "") {
            return Left(toCallFailure(createFailure("badRequest", "name: missing")));
        }
        const forgotten = await this.#options.coordinator.forget(name);
        return forgotten.mapLeft(toCallFailure);
    }

    async #apply(
        changeId: string,
        expectedRevision: number,
        configuration: Configuration,
    ): Promise<Either<Failure, ChangeStatus>> {
        const req = { changeId, expectedRevision, configuration };
        return this.#options.coordinator.apply(req, this.#options.acceptWaitMs);
    }

    /** Adds details from the configuration of that revision, unless it has been replaced or can't be read. */
    async #toStanding(acceptance: ChangeStatus): Promise<StandingInit> {
        const current = await this.#options.coordinator.read();
        const { revision, configuration } = current.orDefault({ revision: -1, changeId: "", configuration: noZones });
        return toStandingInit(acceptance, revision === acceptance.revision ? configuration : undefined);
    }

    async #toCallFailure(failure: Failure): Promise<CallFailure> {
        if (failure.kind !== "revisionConflict") {
            return { failure };
        }
        const current = await this.#options.coordinator.read();
        return { failure, presentRevision: current.map(({ revision }) => revision).toMaybe().extract() };
    }
}

const noZones: Configuration = { timeZone: "UTC", callerKindHeader: "", availabilityZones: [], services: [] };

const noObservations: GatewayObservations = { answered: [], unanswered: [] };

/** Keeps the observations of different gateways separate, since operators look for differences between them. */
function groupByServer(
    answered: GatewayObservations["answered"],
): ReadonlyMap<ServerId, readonly GatewayObservation[]> {
    const groups = new Map<ServerId, GatewayObservation[]>();
    for (const { gateway, servers } of answered) {
        for (const server of servers) {
            const group = groups.get(server.serverId) ?? [];
            group.push({ ...server, gateway });
            groups.set(server.serverId, group);
        }
    }
    return groups;
}

function resolveWithCurrentZones(
    declared: ConfigurationInput,
    current: ConfigurationRevision,
): Either<CallFailure, Configuration> {
    const resolved = resolveConfiguration(keepZoneStates(declared, current.configuration))
        .mapLeft(createInvalidConfigurationFailure);
    return resolved.chain(cfg => {
        const bytes = Buffer.byteLength(JSON.stringify(cfg));
        if (bytes <= maximumConfigurationBytes) {
            return Right(cfg);
        }
        const detail = `takes ${bytes} bytes; the store holds at most ${maximumConfigurationBytes}`;
        return Left(toCallFailure(createFailure("configurationInvalid", detail)));
    });
}
