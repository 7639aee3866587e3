/** Number of servers that must have crashed under a request before it is quarantined. */
export const quarantineStrikeThreshold = 3;

/**
 * Number of generations that these crashes must span. With one, a simultaneous failure of many servers would quarantine
 * every request that they ran.
 */
export const quarantineGenerationThreshold = 2;

/** Number of server crashes from which on a request is sent to one server only, whatever its route allows. */
export const singleSendStrikeThreshold = 2;

/**
 * Delays in milliseconds from the latest strike to each trial of a quarantined request. The first trial comes soon, for
 * requests that were on crashing servers by coincidence. The second allows for the time that it takes to roll back a
 * faulty release. Gateways that disagree on who makes the trial may make one more.
 */
export const defaultTrialDelaysMs: readonly number[] = [4_000, 600_000];

/** Time in milliseconds from its latest strike until a quarantined request is forgotten. */
export const quarantineRetentionMs = 86_400_000;

/**
 * The same for a request that isn't quarantined: nearly all of these were on a server that crashed for another reason.
 */
export const suspicionRetentionMs = 3_600_000;
