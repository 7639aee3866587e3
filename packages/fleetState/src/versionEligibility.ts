import { type RolloutOrder, type RolloutStage, type RolloutStatus } from "./model.js";

/** The order and status of the latest rollout of one service. */
export interface RolloutPlan {
    readonly service: string;
    readonly order: RolloutOrder | undefined;
    readonly status: RolloutStatus | undefined;
    /** Revision of the status in the store; 0 if there is none. */
    readonly statusRevision: number;
}

/**
 * Which requests the servers of a version may get: any request (`stable`), a bounded share (`trial`), requests only if
 * no other server is left (`superseded`), or none (`blocked`).
 */
export type VersionEligibility = "stable" | "trial" | "superseded" | "blocked";

/** @returns whether a stage is final */
export function isFinalStage(stage: RolloutStage): boolean {
    return stage === "completed" || stage === "rolledBack";
}

/** @returns whether a rollout still needs decisions */
export function isOpenPlan({ order, status }: RolloutPlan): boolean {
    return status === undefined || !isFinalStage(status.stage)
        || (order !== undefined && order.version !== status.version);
}

/**
 * @param version - version of a server
 * @param plan - rollout of its service
 * @returns which requests servers of that version may get
 */
export function resolveVersionEligibility(
    version: string | undefined,
    { order, status }: RolloutPlan,
): VersionEligibility {
    if (version !== undefined && status?.rejectedVersions.includes(version) === true) {
        return "blocked";
    }
    const hasNewerOrder = order !== undefined && order.version !== status?.version;
    if (status === undefined || version !== status.version) {
        if (hasNewerOrder && version === order.version) {
            return "trial";
        }
        return status !== undefined && isShifted(status.stage) && !(hasNewerOrder && status.stage === "shifted")
            ? "superseded"
            : "stable";
    }
    switch (status.stage) {
        case "completed":
            return "stable";
        case "rolledBack":
            return "blocked";
        default:
            // A version whose order is withdrawn or replaced before it is proved gets no more requests.
            if (order === undefined || hasNewerOrder) {
                return "blocked";
            }
            return status.stage === "shifted" ? "stable" : "trial";
    }
}

function isShifted(stage: RolloutStage): boolean {
    return stage === "shifted" || stage === "completed";
}
