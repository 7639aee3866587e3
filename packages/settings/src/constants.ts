/** Shortest fleet key that is taken: 128 bits written as hexadecimal digits. */
export const minimumFleetKeyLength = 32;

/** Largest settings or configuration file that is read, in bytes: one value of the platform's store. */
export const maximumFileBytes = 1_048_576;

/** Exit code of a process whose settings or command line are faulty. */
export const badInputExitCode = 2;
