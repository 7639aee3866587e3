/** Groups of workspaces, each with its own allocator: so that no single host answers for all. */
export const groupCount = 4;

/** A share counts this long after the allocator's time that its owner has echoed, in milliseconds. */
export const leaseMs = 1_000;

/** Time between two heartbeats to an allocator, in milliseconds: two may be lost within a lease. */
export const heartbeatMs = 400;

/** Time after which an unanswered message is sent again, in milliseconds: 2.5 % of packets are lost on bad links. */
export const retransmitMs = 40;

/** Time without an answer after which an allocator is given up, in milliseconds: three retransmissions. */
export const giveUpMs = 150;

/** How long a request waits for its decision where nothing else is asked, in milliseconds: until an allocator would be given up. */
export const defaultHoldMs = giveUpMs;

/** Workspaces in a description. */
export const mostDescribedWorkspaces = 200;
