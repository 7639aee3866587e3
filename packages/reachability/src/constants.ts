/** Servers of a service that must have failed before its host doubts its links; all of them, where a service has fewer. */
export const doubtedServers = 3;

/** Exchanges that must have failed, in a service of few servers. */
export const doubtedExchanges = 3;
