import { type ConfigurationRevision } from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { type ChangeRequest } from "./changeCoordinator.js";
import { maxRecentChanges } from "./constants.js";

/** A change that was written, whether or not later ones followed. */
export interface WrittenChange {
    readonly changeId: string;
    readonly revision: number;
}

/** What the store holds under the head's key. */
export interface ConfigurationHead extends ConfigurationRevision {
    /**
     * The newest changes, oldest first, written in one with the configuration. A compare-and-swap whose answer was
     * lost is recognised here, also when other changes came after it; without the list its operator would be told of a
     * conflict although the change took effect.
     */
    readonly recentChanges: readonly WrittenChange[];
}

/**
 * Finds out whether a change has been written.
 *
 * @param head - the head as read; `undefined` where nothing was ever written
 * @param changeId - the operator's name for the call
 * @returns the change with its revision, or `undefined`
 */
export function findChange(head: ConfigurationHead | undefined, changeId: string): WrittenChange | undefined {
    return head?.recentChanges.find(change => change.changeId === changeId);
}

/**
 * Makes the head that a change leads to.
 *
 * @param head - the head as read; `undefined` where nothing was ever written
 * @param req - the operator's change
 * @returns the next head, or `revisionConflict` where the operator read another revision
 */
export function createNextHead(
    head: ConfigurationHead | undefined,
    req: ChangeRequest,
): Either<Failure, ConfigurationHead> {
    const present = head?.revision ?? 0;
    if (req.expectedRevision !== present) {
        return Left(createFailure(
            "revisionConflict",
            `the change was made for revision ${req.expectedRevision}; the present revision is ${present}`,
        ));
    }
    const written = { changeId: req.changeId, revision: present + 1 };
    return Right({
        revision: written.revision,
        changeId: written.changeId,
        configuration: req.configuration,
        recentChanges: [...head?.recentChanges ?? [], written].slice(-maxRecentChanges),
    });
}
