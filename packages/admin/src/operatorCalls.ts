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
import { type Acceptance, type ChangeCoordinator } from "@galenaglade/membership";
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

/** What the calls are answered from. */
export interface OperatorCallsOptions {
    readonly coordinator: ChangeCoordinator;
    readonly hosts: HostList;
    /** Without one, backend servers are listed as declared, with no observations. */
    readonly observer?: BackendServerObserver | undefined;
    /** How long a change waits until it is in force, in milliseconds. */
    readonly acceptWaitMs: number;
}

/** An operator's change of one availability zone. */
export interface ZoneChange {
    readonly name: string;
    readonly state: ZoneState;
    readonly changeId: string;
    /** Where absent, the change goes on top of whatever is present. */
    readonly expectedRevision: number | undefined;
}

/** An operator's new configuration. */
export interface ConfigurationChange {
    readonly changeId: string;
    readonly expectedRevision: number | undefined;
    readonly configuration: ConfigurationInput | undefined;
}

/** A declared backend server with what gateways know of it. */
export interface ListedServer {
    readonly service: string;
    readonly server: Configuration["services"][number]["backendServers"][number];
    readonly zoneState: ZoneState;
    readonly hostState: HostState;
    readonly observations: readonly GatewayObservation[];
}

/** What one gateway knows of one backend server. */
export interface GatewayObservation extends ServerObservation {
    /** Name of the gateway's host. */
    readonly gateway: string;
}

/** The declared backend servers with what gateways know of them. */
export interface ServerList {
    /** The revision that declares them. */
    readonly revision: number;
    readonly servers: readonly ListedServer[];
    /** Names of the registered gateways that gave no usable answer. */
    readonly unanswered: readonly string[];
    /** Observations that gateways left out for size. */
    readonly omitted: number;
    /** Why no gateway could be asked. */
    readonly observationFailure: Failure | undefined;
}

type Answer<T> = Promise<Either<CallFailure, T>>;

/** The operators' calls, whatever protocol brings them. Keeps nothing: any instance in the fleet can answer any call. */
export class OperatorCalls {
    readonly #options: OperatorCallsOptions;

    constructor(options: OperatorCallsOptions) {
        this.#options = options;
    }

    /**
     * Replaces the configuration.
     *
     * @param change - the change; its expected revision is required
     * @returns how far the change has come
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
        const present = await this.#options.coordinator.read();
        if (present.isLeft()) {
            return Left(toCallFailure(present.extract()));
        }
        const resolved = resolveOver(configuration, present.unsafeCoerce());
        if (resolved.isLeft()) {
            return Left(resolved.extract());
        }
        const next = resolved.unsafeCoerce();
        const applied = await this.#apply(storedId.unsafeCoerce(), expectedRevision, next);
        if (applied.isLeft()) {
            return Left(await this.#explain(applied.extract()));
        }
        return Right(await this.#toStanding(applied.unsafeCoerce()));
    }

    /**
     * Takes an availability zone out or brings it in.
     *
     * Two operators' zone changes at the same moment must both take effect, and the store lets one write through. The
     * other reads again and puts its own change on top, under the same change id, so that a write of its own whose
     * answer was lost is recognised and not done twice.
     *
     * @param change - the change
     * @returns how far it has come
     */
    async changeZone(change: ZoneChange): Answer<StandingInit> {
        const storedId = createStoredChangeId(change.changeId, "zone", [change.name, change.state]);
        if (storedId.isLeft()) {
            return Left(toCallFailure(storedId.extract()));
        }
        let lastFailure: Failure | undefined;
        for (let i = 0; i < maxZoneChangeAttempts; i++) {
            const tried = await this.#tryZoneChange(change, storedId.unsafeCoerce());
            if (tried.isRight()) {
                return Right(await this.#toStanding(tried.unsafeCoerce()));
            }
            lastFailure = tried.extract() as Failure;
            if (lastFailure.kind !== "revisionConflict" || change.expectedRevision !== undefined) {
                break;
            }
        }
        return Left(await this.#explain(lastFailure ?? createFailure("internal", "no try was made")));
    }

    async #tryZoneChange(change: ZoneChange, storedId: string): Promise<Either<Failure, Acceptance>> {
        const present = await this.#options.coordinator.read();
        if (present.isLeft()) {
            return Left(present.extract());
        }
        const { revision, configuration } = present.unsafeCoerce();
        // Written also where the zone is in that state already: the write makes a repeated call recognisable, and
        // the answer waits until the state is in force.
        const next = setZoneState(configuration, change.name, change.state);
        if (next.isLeft()) {
            return Left(next.extract());
        }
        return this.#apply(storedId, change.expectedRevision ?? revision, next.unsafeCoerce());
    }

    /**
     * Reads the present configuration.
     *
     * @returns the configuration; revision 0 where none was ever written
     */
    async getConfiguration(): Answer<ConfigurationRevision> {
        const present = await this.#options.coordinator.read();
        return present.mapLeft(toCallFailure);
    }

    /**
     * Says how far the present configuration has come.
     *
     * @returns how far
     */
    async getStanding(): Answer<StandingInit> {
        const acceptance = await this.#options.coordinator.standing();
        if (acceptance.isLeft()) {
            return Left(toCallFailure(acceptance.extract()));
        }
        return Right(await this.#toStanding(acceptance.unsafeCoerce()));
    }

    /**
     * Lists hosts with the gateways on them.
     *
     * @returns what Host messages are made from
     */
    async listHosts(): Answer<ReturnType<typeof toHostInits>> {
        const [hosts, acceptance] = await Promise.all([
            this.#options.hosts.list(),
            this.#options.coordinator.standing(),
        ]);
        const joined = hosts.chain(list => acceptance.map(({ gateways }) => toHostInits(list, gateways)));
        return joined.mapLeft(toCallFailure);
    }

    /**
     * Lists the declared backend servers.
     *
     * @param serviceName - only this service's; all where empty
     * @returns the servers with what gateways know of them; `notFound` where the service isn't declared
     */
    async listBackendServers(serviceName: string): Answer<ServerList> {
        const present = await this.#options.coordinator.read();
        if (present.isLeft()) {
            return Left(toCallFailure(present.extract()));
        }
        const { revision, configuration } = present.unsafeCoerce();
        const services = configuration.services.filter(service => serviceName === "" || service.name === serviceName);
        if (serviceName !== "" && services.length === 0) {
            return Left(toCallFailure(createFailure("notFound", `service ${serviceName} is not declared`)));
        }
        // Neither is worth failing the call for: what is declared is said in any case, and that the rest is lacking.
        const [observed, listed] = await Promise.all([
            this.#options.observer?.observe(serviceName === "" ? undefined : serviceName) ?? Right(nobodyAsked),
            this.#options.hosts.list(),
        ]);
        const { answered, unanswered } = observed.orDefault(nobodyAsked);
        const observations = groupByServer(answered);
        const hosts = listed.toMaybe().extract();
        const out = new Set(
            configuration.availabilityZones.filter(zone => zone.state === "out").map(({ name }) => name),
        );
        const servers = services.flatMap(service =>
            service.backendServers.map((server): ListedServer => ({
                service: service.name,
                server,
                zoneState: out.has(server.availabilityZone) ? "out" : "in",
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
     * Takes an operator's word that the gateway of a lost host runs no more.
     *
     * @param name - name of the host
     * @returns nothing; `badRequest` where the gateway lives, `notFound` where the fleet knows none of the name
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
    ): Promise<Either<Failure, Acceptance>> {
        const req = { changeId, expectedRevision, configuration };
        return this.#options.coordinator.apply(req, this.#options.acceptWaitMs);
    }

    /** Adds what the configuration of that revision says; nothing where it has been replaced or can't be read. */
    async #toStanding(acceptance: Acceptance): Promise<StandingInit> {
        const present = await this.#options.coordinator.read();
        const { revision, configuration } = present.orDefault({ revision: -1, changeId: "", configuration: noZones });
        return toStandingInit(acceptance, revision === acceptance.revision ? configuration : undefined);
    }

    async #explain(failure: Failure): Promise<CallFailure> {
        if (failure.kind !== "revisionConflict") {
            return { failure };
        }
        const present = await this.#options.coordinator.read();
        return { failure, presentRevision: present.map(({ revision }) => revision).toMaybe().extract() };
    }
}

const noZones: Configuration = { timeZone: "UTC", callerKindHeader: "", availabilityZones: [], services: [] };

const nobodyAsked: GatewayObservations = { answered: [], unanswered: [] };

/** Gateways' words are kept side by side: where they differ, that is what an operator looks for. */
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

function resolveOver(
    declared: ConfigurationInput,
    present: ConfigurationRevision,
): Either<CallFailure, Configuration> {
    const resolved = resolveConfiguration(keepZoneStates(declared, present.configuration))
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
