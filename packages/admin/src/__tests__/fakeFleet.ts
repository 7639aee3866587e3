import {
    type Configuration,
    type ConfigurationInput,
    resolveConfiguration,
    type ConfigurationRevision,
} from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type ChangeStatus, ChangeCoordinator, type ChangeRequest } from "@galenaglade/membership";
import { type HostEntry, HostList } from "@galenaglade/platform";
import { type Either, Left, Right } from "purify-ts";

export const fleetKey = "0123456789abcdef0123456789abcdef";

/** Two availability zones and one service with a backend server in each. */
export const declared: ConfigurationInput = {
    availabilityZones: [{ name: "a" }, { name: "b" }],
    services: [{
        name: "tables",
        authorities: ["*"],
        patience: [{ callerKind: "default", patienceMs: 1_000 }],
        backendServers: [
            { name: "one", availabilityZone: "a", address: "10.0.0.1", port: 80 },
            { name: "two", availabilityZone: "b", address: "10.0.0.2", port: 80 },
        ],
    }],
};

export const resolved: Configuration = resolveConfiguration(declared).unsafeCoerce();

const firstRevision: ConfigurationRevision = { revision: 1, changeId: "first", configuration: resolved };

const gateway = { name: "entry-1", incarnation: "1", availabilityZone: "a", peerAddress: "10.0.0.9:7400" };

/** Stores changes in memory, with the store's revision checks. Tests control it by its public fields. */
export class FakeCoordinator extends ChangeCoordinator {
    /** Every change that took effect, oldest first. */
    readonly history: ConfigurationRevision[];
    inForce = true;
    /** Names of gateways that were removed by an operator. */
    readonly forgotten: string[] = [];
    /** Called when a change takes effect. */
    onStored: (stored: ConfigurationRevision) => void = () => undefined;
    /** Number of upcoming changes whose write takes effect but whose response is lost. */
    responsesToLose = 0;
    /** Awaited before each step, so that a test can control the order of steps. */
    beforeStep: (step: string) => Promise<void> = () => Promise.resolve();

    constructor(history: readonly ConfigurationRevision[] = [firstRevision]) {
        super();
        this.history = [...history];
    }

    get present(): ConfigurationRevision {
        const empty = { timeZone: "UTC", callerKindHeader: "x", availabilityZones: [], services: [] };
        return this.history.at(-1) ?? { revision: 0, changeId: "", configuration: empty };
    }

    override async read(): Promise<Either<Failure, ConfigurationRevision>> {
        await this.beforeStep("read");
        return Right(this.present);
    }

    override async apply(req: ChangeRequest): Promise<Either<Failure, ChangeStatus>> {
        await this.beforeStep("apply");
        const previous = this.history.find(change => change.changeId === req.changeId);
        if (previous === undefined && req.expectedRevision !== this.present.revision) {
            return Left(createFailure("revisionConflict", "another revision is present"));
        }
        const written = previous ?? {
            revision: this.present.revision + 1,
            changeId: req.changeId,
            configuration: req.configuration,
        };
        if (previous === undefined) {
            this.history.push(written);
            this.onStored(written);
        }
        if (this.responsesToLose > 0) {
            this.responsesToLose--;
            return Left(createFailure("storeOutcomeUnknown", "the store's response was lost"));
        }
        await this.beforeStep("answer");
        return Right(this.#createAcceptance(written));
    }

    override async changeStatus(): Promise<Either<Failure, ChangeStatus>> {
        await this.beforeStep("standing");
        return Right(this.#createAcceptance(this.present));
    }

    override forget(name: string): Promise<Either<Failure, void>> {
        if (name === gateway.name) {
            return Promise.resolve(Left(createFailure("badRequest", "still registered")));
        }
        this.forgotten.push(name);
        return Promise.resolve(Right(undefined));
    }

    #createAcceptance({ revision, changeId }: ConfigurationRevision): ChangeStatus {
        const state = this.inForce ? "inForce" : "behind";
        const held = this.inForce ? revision : revision - 1;
        return { revision, changeId, inForce: this.inForce, gateways: [{ gateway, state, revision: held }] };
    }
}

/** A host list that is set by the test. */
export class FakeHostList extends HostList {
    hosts: readonly HostEntry[] = [];
    isDown = false;

    override list(): Promise<Either<Failure, readonly HostEntry[]>> {
        const down = createFailure("storeUnavailable", "the platform does not answer");
        return Promise.resolve(this.isDown ? Left(down) : Right(this.hosts));
    }
}
