import { type RolloutStage, type RolloutStatus } from "./model.js";

const progress: Readonly<Record<RolloutStage, number>> = Object.freeze({
    trial: 0,
    widened: 1,
    shifted: 2,
    completed: 3,
    rolledBack: 3,
});

/** @returns whether a rollout status of a service is later than another status of that service */
export function isLaterStatus(status: RolloutStatus, other: RolloutStatus): boolean {
    const startedLater = status.startedAtEpochMs - other.startedAtEpochMs;
    return startedLater > 0 || (startedLater === 0 && progress[status.stage] > progress[other.stage]);
}
