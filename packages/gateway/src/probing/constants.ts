/** How often the scheduler's calls of the store are made. */
export const seatTickMs = 100;

/** Pause after a probe: the most that one gateway sends in a second comes of it. */
export const busyPauseMs = 5;

/** Pause after a look that found no probe due. */
export const idlePauseMs = 20;

/** A probe takes some milliseconds; one that takes this long is given up. */
export const probeTimeoutMs = 1_000;

/** Largest load answer that is read; whole ones are about a hundred bytes. */
export const maximumLoadAnswerBytes = 4_096;

/** Where backend servers tell their load. */
export const loadPath = "/load";
