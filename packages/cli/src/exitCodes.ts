/** Exit codes of the program. Scripts rely on these numbers. */
export const exitCodes = Object.freeze({
    /** Success; a change is in force. */
    ok: 0,
    /** Failed for a reason that no other code covers. */
    failed: 1,
    /** The command line, the file or a name in the request is invalid. */
    badInput: 2,
    /** Another change was made first; nothing was changed. */
    conflict: 3,
    /** The change is stored, but some gateways may still use an older configuration. */
    notInForce: 4,
    /** No response; a change may or may not be stored. */
    unreachable: 5,
});

/** One of {@link exitCodes}. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
