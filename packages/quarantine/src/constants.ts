/** Servers that must have ended under a request before it is kept from others. */
export const quarantineStrikeThreshold = 3;

/** Generations that these must span: in one, a failure of many servers at once would condemn every request that they ran. */
export const quarantineGenerationThreshold = 2;

/** Servers that may end under a request before it is sent to one server only, whatever its route allows. */
export const singleSendStrikeThreshold = 2;

/**
 * Times after the latest strike until a quarantined request is tried once, in milliseconds: the first soon, for a request that only
 * happened to be on servers which ended, the second after the time in which a faulty release is taken back. A fleet whose gateways don't
 * agree on who tries may make one more.
 */
export const defaultTrialDelaysMs: readonly number[] = [4_000, 600_000];

/** Time after its latest strike until a quarantined request is forgotten, in milliseconds. */
export const quarantineRetentionMs = 86_400_000;

/** The same for one that is not quarantined: nearly all of these were on a server that ended by itself. */
export const suspicionRetentionMs = 3_600_000;
