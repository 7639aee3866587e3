/** How the command ends; scripts rely on these numbers. */
export const exitCodes = Object.freeze({
    /** Done; a change is in force. */
    ok: 0,
    /** Refused for a reason that none of the others names. */
    failed: 1,
    /** The command line, the file or a name in the call is wrong. */
    badInput: 2,
    /** Another change came first; nothing was changed. */
    conflict: 3,
    /** The change is stored, but some gateway may still follow an older one. */
    notInForce: 4,
    /** No answer; a change may or may not be stored. */
    unreachable: 5,
});

/** One of {@link exitCodes}. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
