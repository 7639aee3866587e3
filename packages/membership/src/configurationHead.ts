import { type ConfigurationRevision } from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { type ChangeRequest } from "./changeCoordinator.js";
import { maxRecentChanges } from "./constants.js";

/** A change that was written to the store, possibly superseded by later ones. */
export interface WrittenChange {
    readonly changeId: string;
    readonly revision: number;
}

/** Value of the head's key in the store. */
export interface ConfigurationHead extends ConfigurationRevision {
    /**
     * The latest changes, oldest first, written atomically with the configuration. They identify a compare-and-swap
     * whose response was lost, even after later changes. Without them, the operator would get a conflict although the
     * change was applied.
     */
    readonly recentChanges: readonly WrittenChange[];
}

/**
 * Finds a change among the latest ones.
 *
 * @param head - the head as read; `undefined` if none has been written yet
 * @param changeId - the change's id, as sent by the operator
 * @returns the change with its revision; `undefined` if it isn't found
 */
export function findChange(head: ConfigurationHead | undefined, changeId: string): WrittenChange | undefined {
    return head?.recentChanges.find(change => change.changeId === changeId);
}

/**
 * Creates the head that results from a change.
 *
 * @param head - the head as read; `undefined` if none has been written yet
 * @param req - the operator's change
 * @returns the next head, or `revisionConflict` if the operator read another revision
 */
export function createNextHead(
    head: ConfigurationHead | undefined,
    req: ChangeRequest,
): Either<Failure, ConfigurationHead> {
    const currentRevision = head?.revision ?? 0;
    if (req.expectedRevision !== currentRevision) {
        return Left(createFailure(
            "revisionConflict",
            `the change was made for revision ${req.expectedRevision}; the present revision is ${currentRevision}`,
        ));
    }
    const written = { changeId: req.changeId, revision: currentRevision + 1 };
    return Right({
        revision: written.revision,
        changeId: written.changeId,
        configuration: req.configuration,
        recentChanges: [...head?.recentChanges ?? [], written].slice(-maxRecentChanges),
    });
}
