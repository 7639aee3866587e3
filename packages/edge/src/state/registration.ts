import { type Failure } from "@galenaglade/errors";
import { type FleetView, type GatewayRegistration, renderGatewayRegistration } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import { type KeyValueStore } from "@galenaglade/platform";
import { type RandomSource } from "@galenaglade/routing";
import {
    expiryCheckPeriodMs,
    maxRegistrationBackoffMs,
    maxStoreBackoffMs,
    registrationTtlMs,
    renewalsPerTtl,
    rewriteSpreadMs,
} from "../constants.js";
import { type StateCodec } from "../stateCodec.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { InterruptibleSleep } from "./interruptibleSleep.js";

/** Dependencies of {@link Registration}. */
export interface RegistrationDeps {
    readonly name: string;
    /** Content of the registration; `undefined` if this gateway relays no changes. */
    readonly registration: GatewayRegistration | undefined;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

const renewalIntervalMs = registrationTtlMs / renewalsPerTtl;

/**
 * Keeps this gateway's registration in the store, under a lease. Gateways divide fleet-wide budgets by the number of
 * registrations, so the shares would add up to more than the whole if a gateway ran without one.
 *
 * A restarted process adopts the lease of its previous incarnation. Each write of a registration is a change that every
 * gateway fetches with a call of its own: a restart without a write saves a fleet of 15 about 30 calls.
 */
export class Registration {
    readonly #deps: RegistrationDeps;
    #stopped = false;
    #leaseId: string | undefined;
    #lostLeaseId: string | undefined;
    readonly #renewalSleep = new InterruptibleSleep();
    /** Term of the store in which the registration was written. */
    #term = 0;

    constructor(deps: RegistrationDeps) {
        this.#deps = deps;
    }

    start(): void {
        void this.#run();
    }

    /** Stops renewing the lease. The next incarnation on this host adopts the registration, or it expires. */
    stop(): void {
        this.#stopped = true;
    }

    /** Registers again if the store was restored from a backup since the last registration. */
    onViewChange(): void {
        if (this.#leaseId !== undefined && this.#deps.view.term !== this.#term) {
            // Writes after the backup are lost, and the id of the lease may now belong to another holder.
            this.#leaseId = undefined;
            this.#renewalSleep.interrupt();
        }
    }

    async #run(): Promise<void> {
        while (!this.#stopped && !this.#deps.view.hasSynced) {
            await sleep(expiryCheckPeriodMs);
        }
        let failures = 0;
        while (!this.#stopped) {
            const { term } = this.#deps.view;
            const registered = await this.#adopt() || await this.#register();
            if (!registered) {
                const maxBackoffMs = Math.min(maxRegistrationBackoffMs, maxStoreBackoffMs * 2 ** failures);
                failures++;
                await sleep(maxBackoffMs * (1 + this.#deps.random.next()) / 2);
                continue;
            }
            failures = 0;
            this.#term = term;
            await this.#keepRenewing();
            if (this.#deps.view.term !== this.#term) {
                // Keeps the gateways of a fleet from all writing their registrations again at once.
                await sleep(rewriteSpreadMs * this.#deps.random.next());
            }
        }
    }

    /** Adopts the registration of the previous incarnation if it is up to date and its lease can be renewed. */
    async #adopt(): Promise<boolean> {
        const { store, view, name, log } = this.#deps;
        const leaseId = view.registrationLease(name);
        if (leaseId === undefined || leaseId === this.#lostLeaseId || !this.#isUpToDate()) {
            return false;
        }
        const renewed = await store.renewLease(leaseId);
        if (renewed.isLeft()) {
            this.#onFailure("renewLease", renewed.extract());
            return false;
        }
        this.#leaseId = leaseId;
        log.log("info", "registered", { name, leaseId, adopted: true });
        return true;
    }

    /** Whether the stored registration equals the one to be written: the ports may have changed with the restart. */
    #isUpToDate(): boolean {
        const { view, name, registration } = this.#deps;
        const stored = view.registeredGateways().find(gateway => gateway.name === name);
        const [storedText, currentText] = [stored, registration].map(each => each && renderGatewayRegistration(each));
        return storedText === currentText;
    }

    async #register(): Promise<boolean> {
        const { store, codec, name, registration, log, metrics } = this.#deps;
        const lease = await store.grantLease(registrationTtlMs);
        if (lease.isLeft()) {
            this.#onFailure("grantLease", lease.extract());
            return false;
        }
        const { id } = lease.unsafeCoerce();
        const key = codec.registrationKey(name);
        const value = registration === undefined ? name : renderGatewayRegistration(registration);
        let expectedRevision = 0;
        // The second round overwrites a registration that the previous incarnation left behind.
        for (let round = 0; round < 2; round++) {
            const swap = await store.compareAndSwap({ key, expectedRevision, value, leaseId: id });
            if (swap.isLeft()) {
                this.#onFailure("compareAndSwap", swap.extract());
                return false;
            }
            const outcome = swap.unsafeCoerce();
            metrics.onStoreCall("compareAndSwap", outcome.swapped ? "answered" : "conflict");
            if (outcome.swapped) {
                this.#leaseId = id;
                log.log("info", "registered", { name, leaseId: id, revision: outcome.revision });
                return true;
            }
            expectedRevision = outcome.current?.modifiedRevision ?? 0;
        }
        return false;
    }

    /** Renews the lease until the registration is lost. */
    async #keepRenewing(): Promise<void> {
        const { store, view, name, clock } = this.#deps;
        const registeredAtMs = clock.monotonicMs();
        while (!this.#stopped) {
            const leaseId = this.#leaseId;
            if (leaseId === undefined) {
                return;
            }
            await this.#renewalSleep.sleep(renewalIntervalMs);
            if (this.#leaseId !== leaseId) {
                return;
            }
            const renewed = await store.renewLease(leaseId);
            const failure = renewed.isLeft() ? renewed.extract() : undefined;
            if (failure !== undefined) {
                this.#onFailure("renewLease", failure);
            }
            // The store may drop a registration without failing a renewal; the watch then shows that it is gone.
            const lost = view.lastStoreContactMs - registeredAtMs > renewalIntervalMs && !view.isRegistered(name);
            if (failure?.kind === "notFound" || lost) {
                this.#lostLeaseId = leaseId;
                this.#leaseId = undefined;
            }
        }
    }

    #onFailure(call: string, failure: Failure): void {
        const { log, metrics } = this.#deps;
        metrics.onStoreCall(call, failure.kind);
        log.log("warn", "registrationFailed", { call, kind: failure.kind, detail: failure.detail });
    }
}
