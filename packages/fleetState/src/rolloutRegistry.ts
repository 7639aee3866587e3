import { type RegisteredServer, type RolloutOrder, type RolloutStatus } from "./model.js";
import { resolveVersionEligibility, type RolloutPlan, type VersionEligibility } from "./versionEligibility.js";

/** Rollouts in the store, by service. */
export class RolloutRegistry {
    readonly #plans = new Map<string, RolloutPlan>();
    /** Servers of other versions that were registered when the rollout of a service was completed. */
    readonly #retiring = new Map<string, ReadonlySet<string>>();

    /** @returns the latest rollout of each service, including those that have ended */
    get plans(): readonly RolloutPlan[] {
        return [...this.#plans.values()];
    }

    planOf(service: string): RolloutPlan | undefined {
        return this.#plans.get(service);
    }

    /** @returns which requests a server may get, as far as rollouts decide it */
    eligibilityOf({ id, service, version }: RegisteredServer): VersionEligibility {
        const plan = this.#plans.get(service);
        if (plan === undefined) {
            return "stable";
        }
        const eligibility = resolveVersionEligibility(version, plan);
        // Servers of another version that join after the completion would otherwise stay idle forever.
        const joinedLater = plan.status?.stage === "completed" && this.#retiring.get(service)?.has(id) !== true;
        return eligibility === "superseded" && joinedLater ? "stable" : eligibility;
    }

    onOrder(order: RolloutOrder): void {
        this.#change(order.service, { order });
    }

    onOrderDeleted({ service }: RolloutOrder): void {
        this.#change(service, { order: undefined });
    }

    /** @param present - registered servers of the service */
    onStatus(status: RolloutStatus, statusRevision: number, present: readonly RegisteredServer[]): void {
        const before = this.#plans.get(status.service)?.status;
        if (status.stage === "completed" && before !== undefined && before.stage !== "completed") {
            const others = present.filter(({ version }) => version !== status.version);
            this.#retiring.set(status.service, new Set(others.map(({ id }) => id)));
        }
        this.#change(status.service, { status, statusRevision });
    }

    onStatusDeleted({ service }: RolloutStatus): void {
        this.#change(service, { status: undefined, statusRevision: 0 });
    }

    #change(service: string, change: Partial<RolloutPlan>): void {
        const before = this.#plans.get(service) ?? { service, order: undefined, status: undefined, statusRevision: 0 };
        const plan = { ...before, ...change };
        if (plan.order === undefined && plan.status === undefined) {
            this.#plans.delete(service);
            return;
        }
        this.#plans.set(service, plan);
    }
}
