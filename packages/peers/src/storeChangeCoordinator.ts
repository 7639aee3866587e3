import { type ConfigurationRevision } from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import {
    type ChangeStatus,
    AcceptanceTracker,
    ChangeCoordinator,
    type ChangeRequest,
    type ConfigurationOffer,
    createNextHead,
    defaultFleetTimings,
    type FleetTimings,
    findChange,
    type GatewayIdentity,
    type Roster,
    storeKeys,
    type WrittenChange,
} from "@galenaglade/membership";
import { type KeyValueStore } from "@galenaglade/platform";
import { type Either, Left, Right } from "purify-ts";
import { type Clock, createSystemClock, delay, withTimeout } from "./clock.js";
import { offerIntervalMs, surveyIntervalMs, writeRetryMs } from "./constants.js";
import { clearForgotten, isForgotten, isRegistered, readFleet, readHead, type StoredFleet } from "./fleetStore.js";
import { type PeerCaller } from "./peerCaller.js";
import { createPeerCaller } from "./trpcPeerCaller.js";

/** Options of a {@link StoreChangeCoordinator}. */
export interface ChangeCoordinatorOptions {
    readonly store: KeyValueStore;
    readonly fleetKey: string;
    readonly timings?: FleetTimings | undefined;
    /** Replaces the process's clock in tests. */
    readonly clock?: Clock | undefined;
    /** Replaces the calls to gateways in tests. */
    readonly caller?: PeerCaller | undefined;
}

/**
 * @param options - the store, the fleet's key and overrides for tests
 * @returns a coordinator for the admin process
 */
export function createChangeCoordinator(options: ChangeCoordinatorOptions): StoreChangeCoordinator {
    return new StoreChangeCoordinator(options);
}

/** Writes changes by compare-and-swap on the head, and offers them to all gateways. */
export class StoreChangeCoordinator extends ChangeCoordinator {
    readonly #store: KeyValueStore;
    readonly #timings: FleetTimings;
    readonly #clock: Clock;
    readonly #caller: PeerCaller;
    /** Tracker of the latest revision. It is kept between calls, so that the time between them counts. */
    #latestTracker: AcceptanceTracker | undefined;

    constructor(options: ChangeCoordinatorOptions) {
        super();
        this.#store = options.store;
        this.#timings = options.timings ?? defaultFleetTimings;
        this.#clock = options.clock ?? createSystemClock();
        this.#caller = options.caller
            ?? createPeerCaller({ fleetKey: options.fleetKey, callTimeoutMs: this.#timings.callTimeoutMs });
    }

    override async read(): Promise<Either<Failure, ConfigurationRevision>> {
        const read = await this.#withStoreTimeout(readHead(this.#store));
        return read.map(({ head }) => head ?? emptyConfiguration);
    }

    override async apply(req: ChangeRequest, waitMs: number): Promise<Either<Failure, ChangeStatus>> {
        const deadlineMs = this.#clock.nowMs() + waitMs;
        const written = await this.#write(req, deadlineMs);
        if (written.isLeft()) {
            return Left(written.extract());
        }
        return Right(await this.#waitUntilInForce(written.unsafeCoerce(), deadlineMs));
    }

    override async changeStatus(): Promise<Either<Failure, ChangeStatus>> {
        // The roster must be read after the head. A roster that was read before may have been replaced before the
        // change was written, and a majority of it says nothing about the current members.
        const head = await this.#withStoreTimeout(readHead(this.#store));
        const read = await this.#withStoreTimeout(readFleet(this.#store));
        if (head.isLeft() || read.isLeft()) {
            return Left((head.isLeft() ? head : read).extract() as Failure);
        }
        const fleet = read.unsafeCoerce();
        const { revision, changeId } = head.unsafeCoerce().head ?? emptyConfiguration;
        const tracker = this.#trackerFor(revision);
        this.#updateSurvey(tracker, fleet);
        // The second round confirms that the versions in the first responses were held at the same time.
        await this.#offerToAll(tracker, fleet);
        await this.#offerToAll(tracker, fleet);
        return Right(this.#createStatus(tracker, { revision, changeId }));
    }

    /**
     * Records an operator's confirmation that a gateway has ended and that no process will be started under its name
     * without the store. The gateway then counts as having agreed to leave the roster. This is needed if more than half
     * of the roster is lost at once and the platform's host list doesn't show it.
     *
     * If a live gateway were recorded, a change could be declared in force while that gateway still sends work under
     * the older configuration. So the call is rejected for a gateway that is registered, and for one that is
     * disconnected from the store but responds to the admin process. The operator has to exclude the remaining case, a
     * gateway that still serves but neither is registered nor responds.
     */
    override async forget(name: string): Promise<Either<Failure, void>> {
        const fleet = await this.#withStoreTimeout(readFleet(this.#store));
        if (fleet.isLeft()) {
            return Left(toReadFailure(fleet.extract()));
        }
        const identities = findByName(fleet.unsafeCoerce().roster, name);
        const rejection = await this.#checkForget(name, identities);
        if (rejection !== undefined) {
            return Left(rejection);
        }
        const swap = await this.#withStoreTimeout(this.#store.compareAndSwap({
            key: `${storeKeys.forgottenPrefix}${name}`,
            expectedRevision: 0,
            value: "{}",
        }));
        if (swap.isLeft()) {
            return Left(swap.extract());
        }
        return this.#undoForgetIfRegistered(name);
    }

    async #checkForget(name: string, identities: readonly GatewayIdentity[]): Promise<Failure | undefined> {
        const registered = await this.#withStoreTimeout(isRegistered(this.#store, name));
        if (registered.isLeft()) {
            return toReadFailure(registered.extract());
        }
        if (registered.unsafeCoerce()) {
            return createRegisteredFailure(name);
        }
        const responses = await Promise.all(
            identities.map(({ peerAddress }) => this.#caller.offer(peerAddress, emptyOffer)),
        );
        // The name is compared, since the address may have been reused by another gateway.
        if (responses.some(response => response.toMaybe().extract()?.gateway.name === name)) {
            return createFailure("badRequest", `gateway ${name} answers at its peer port`, { didRun: "no" });
        }
        if (identities.length > 0) {
            return undefined;
        }
        const forgotten = await this.#withStoreTimeout(isForgotten(this.#store, name));
        return forgotten.caseOf<Failure | undefined>({
            Left: toReadFailure,
            Right: isAlreadyForgotten =>
                isAlreadyForgotten ? undefined : createFailure("notFound", `no gateway ${name} in the fleet's roster`),
        });
    }

    /**
     * Deletes the record again if the gateway registered between the check and the write. A gateway deletes existing
     * records when it registers, but would miss this one. If its registration later expired while it serves, it would
     * count as ended.
     */
    async #undoForgetIfRegistered(name: string): Promise<Either<Failure, void>> {
        const registered = await this.#withStoreTimeout(isRegistered(this.#store, name));
        if (registered.isLeft()) {
            // The record is stored, but whether it may stay is unknown; a repeated call checks again.
            return Left(createFailure("storeOutcomeUnknown", registered.extract().detail));
        }
        if (!registered.unsafeCoerce()) {
            return Right(undefined);
        }
        const cleared = await this.#withStoreTimeout(clearForgotten(this.#store, name));
        return cleared.chain(() => Left(createRegisteredFailure(name)));
    }

    async #write(req: ChangeRequest, deadlineMs: number): Promise<Either<Failure, WrittenChange>> {
        let mayBeWritten = false;
        for (;;) {
            const attempt = await this.#attemptWrite(req);
            if (attempt.type === "written") {
                return Right(attempt.change);
            }
            if (attempt.type === "refused") {
                return Left(attempt.failure);
            }
            mayBeWritten ||= attempt.mayBeWritten;
            const failure = attempt.failure;
            if (failure !== undefined && !mayBeWritten) {
                // Only reads have failed so far, so the change is certainly not stored.
                return Left(toReadFailure(failure));
            }
            if (this.#clock.nowMs() + writeRetryMs >= deadlineMs) {
                return Left(createFailure("storeOutcomeUnknown", "the store did not say whether the change is stored"));
            }
            if (failure !== undefined) {
                await delay(this.#clock, writeRetryMs);
            }
        }
    }

    /** Reads first: a write whose response was lost, in this call or an earlier one, is found by its change id. */
    async #attemptWrite(req: ChangeRequest): Promise<WriteAttempt> {
        const read = await this.#withStoreTimeout(readHead(this.#store));
        if (read.isLeft()) {
            return { type: "open", mayBeWritten: false, failure: read.extract() };
        }
        const { head, keyRevision } = read.unsafeCoerce();
        const found = findChange(head, req.changeId);
        if (found !== undefined) {
            return { type: "written", change: found };
        }
        const next = createNextHead(head, req);
        if (next.isLeft()) {
            return { type: "refused", failure: next.extract() };
        }
        const nextHead = next.unsafeCoerce();
        const swap = await this.#withStoreTimeout(this.#store.compareAndSwap({
            key: storeKeys.head,
            expectedRevision: keyRevision,
            value: JSON.stringify(nextHead),
        }));
        if (swap.isLeft()) {
            const failure = swap.extract();
            return { type: "open", mayBeWritten: failure.kind === "storeOutcomeUnknown", failure };
        }
        if (swap.unsafeCoerce().swapped) {
            return { type: "written", change: nextHead };
        }
        return { type: "open", mayBeWritten: false, failure: undefined };
    }

    async #waitUntilInForce(change: WrittenChange, deadlineMs: number): Promise<ChangeStatus> {
        const tracker = this.#trackerFor(change.revision);
        let fleet: StoredFleet | undefined;
        let surveyedAtMs = Number.NEGATIVE_INFINITY;
        for (let round = 0;; round++) {
            if (this.#clock.nowMs() >= surveyedAtMs + surveyIntervalMs) {
                surveyedAtMs = this.#clock.nowMs();
                fleet = (await this.#withStoreTimeout(readFleet(this.#store))).toMaybe().extract() ?? fleet;
                this.#updateSurvey(tracker, fleet);
            }
            if (fleet !== undefined) {
                await this.#offerToAll(tracker, fleet);
            }
            const status = this.#createStatus(tracker, change);
            if (status.inForce || this.#clock.nowMs() >= deadlineMs) {
                return status;
            }
            if (round > 0) {
                await delay(this.#clock, offerIntervalMs);
            }
        }
    }

    #trackerFor(revision: number): AcceptanceTracker {
        if (this.#latestTracker?.target.revision === revision) {
            return this.#latestTracker;
        }
        const tracker = new AcceptanceTracker({ revision, rosterVersion: 0 }, this.#timings);
        if (revision > (this.#latestTracker?.target.revision ?? -1)) {
            this.#latestTracker = tracker;
        }
        return tracker;
    }

    #updateSurvey(tracker: AcceptanceTracker, fleet: StoredFleet | undefined): void {
        // Without the registrations, gateways outside the roster wouldn't be called.
        if (fleet?.listed === undefined) {
            return;
        }
        const { registered, forgotten } = fleet.listed;
        const names = new Set(registered.map(gateway => gateway.name));
        tracker.onSurvey(fleet.roster, registered, new Set(forgotten.filter(name => !names.has(name))));
    }

    async #offerToAll(tracker: AcceptanceTracker, fleet: StoredFleet): Promise<void> {
        await Promise.all(tracker.gateways.map(gateway => this.#offer(tracker, fleet, gateway)));
    }

    async #offer(tracker: AcceptanceTracker, fleet: StoredFleet, gateway: GatewayIdentity): Promise<void> {
        const startedAtMs = this.#clock.nowMs();
        const offer = { offered: fleet.head.head, roster: fleet.roster };
        const response = await this.#caller.offer(gateway.peerAddress, offer);
        response.caseOf({
            Left: () => tracker.onCallFailed(gateway.name),
            Right: answer => tracker.onVersionReport({ ...answer, startedAtMs, answeredAtMs: this.#clock.nowMs() }),
        });
    }

    #createStatus(tracker: AcceptanceTracker, change: WrittenChange): ChangeStatus {
        const nowMs = this.#clock.nowMs();
        return {
            revision: change.revision,
            changeId: change.changeId,
            inForce: tracker.isInForce(nowMs),
            gateways: tracker.gatewayStatuses(nowMs),
        };
    }

    #withStoreTimeout<T>(call: Promise<Either<Failure, T>>): Promise<Either<Failure, T>> {
        return withTimeout(
            this.#clock,
            this.#timings.freshForMs,
            call,
            () => Left(createFailure("storeOutcomeUnknown", "the store took too long")),
        );
    }
}

const emptyOffer: ConfigurationOffer = Object.freeze({ offered: undefined, roster: undefined });

function findByName(roster: Roster | undefined, name: string): readonly GatewayIdentity[] {
    const members = [...roster?.members ?? [], ...roster?.previous ?? []];
    return members.filter(member => member.name === name);
}

function createRegisteredFailure(name: string): Failure {
    const detail = `gateway ${name} is registered; it runs, or ended only some seconds ago`;
    return createFailure("badRequest", detail, { didRun: "no" });
}

/** A failed read has no effect, even if it was made by compare-and-swap, so its outcome is never unknown. */
function toReadFailure({ kind, detail }: Failure): Failure {
    return createFailure(kind === "storeOutcomeUnknown" ? "storeUnavailable" : kind, detail, { didRun: "no" });
}

type WriteAttempt =
    | { readonly type: "written"; readonly change: WrittenChange; }
    | { readonly type: "refused"; readonly failure: Failure; }
    /** To be retried; `failure` is `undefined` if another change was written first. */
    | { readonly type: "open"; readonly mayBeWritten: boolean; readonly failure: Failure | undefined; };

const emptyConfiguration: ConfigurationRevision = Object.freeze({
    revision: 0,
    changeId: "",
    configuration: {
        timeZone: "UTC",
        callerKindHeader: "x-caller-kind",
        availabilityZones: [],
        services: [],
    },
});
