import { type RolloutOrder, type RolloutStage, type RolloutStatus } from "./model.js";

/** What is known of one service's roll-out. */
export interface RolloutPlan {
    readonly service: string;
    readonly order: RolloutOrder | undefined;
    readonly status: RolloutStatus | undefined;
    /** The store's revision of the status; 0 where there is none. */
    readonly statusRevision: number;
}

/**
 * What a version's servers may be given: any request, a bounded share of them, none unless nothing else is left, or none
 * at all.
 */
export type VersionEligibility = "stable" | "trial" | "superseded" | "blocked";

/** @returns whether nothing more is decided on a roll-out in this stage */
export function isFinalStage(stage: RolloutStage): boolean {
    return stage === "completed" || stage === "rolledBack";
}

/** @returns whether something is still to be decided on a service's roll-out */
export function isOpenPlan({ order, status }: RolloutPlan): boolean {
    return status === undefined || !isFinalStage(status.stage)
        || (order !== undefined && order.version !== status.version);
}

/**
 * @param version - of a server
 * @param plan - its service's roll-out
 * @returns what servers of that version may be given
 */
export function resolveVersionEligibility(
    version: string | undefined,
    { order, status }: RolloutPlan,
): VersionEligibility {
    if (version !== undefined && status?.rejectedVersions.includes(version) === true) {
        return "blocked";
    }
    const orderIsNewer = order !== undefined && order.version !== status?.version;
    if (status === undefined || version !== status.version) {
        if (orderIsNewer && version === order.version) {
            return "trial";
        }
        return status !== undefined && isShifted(status.stage) && !(orderIsNewer && status.stage === "shifted")
            ? "superseded"
            : "stable";
    }
    switch (status.stage) {
        case "completed":
            return "stable";
        case "rolledBack":
            return "blocked";
        default:
            // Without its order, or with a newer one, an unproved version gets nothing more.
            if (order === undefined || orderIsNewer) {
                return "blocked";
            }
            return status.stage === "shifted" ? "stable" : "trial";
    }
}

function isShifted(stage: RolloutStage): boolean {
    return stage === "shifted" || stage === "completed";
}
