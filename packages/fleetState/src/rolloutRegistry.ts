import { type RegisteredServer, type RolloutOrder, type RolloutStatus } from "./model.js";
import { resolveVersionEligibility, type RolloutPlan, type VersionEligibility } from "./versionEligibility.js";

/** The roll-outs that the store knows of, by service. */
export class RolloutRegistry {
    readonly #plans = new Map<string, RolloutPlan>();
    /** Servers of other versions that were there when a service's roll-out was completed. */
    readonly #retiring = new Map<string, ReadonlySet<string>>();

    /** @returns all roll-outs, those that have ended included */
    get plans(): readonly RolloutPlan[] {
        return [...this.#plans.values()];
    }

    planOf(service: string): RolloutPlan | undefined {
        return this.#plans.get(service);
    }

    /** @returns what a server may be given, for all that roll-outs say */
    eligibilityOf({ id, service, version }: RegisteredServer): VersionEligibility {
        const plan = this.#plans.get(service);
        if (plan === undefined) {
            return "stable";
        }
        const use = resolveVersionEligibility(version, plan);
        // Servers that join afterwards would stand idle for good if their version's name decided.
        const joinedLater = plan.status?.stage === "completed" && this.#retiring.get(service)?.has(id) !== true;
        return use === "superseded" && joinedLater ? "stable" : use;
    }

    onOrder(order: RolloutOrder): void {
        this.#change(order.service, { order });
    }

    onOrderDeleted({ service }: RolloutOrder): void {
        this.#change(service, { order: undefined });
    }

    /** @param present - servers of the service that are there */
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
