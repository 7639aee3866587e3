/** Shortest fleet key that is taken: 128 bits written as hexadecimal digits. */
export const minFleetKeyLength = 32;

/** Largest settings or configuration file that is read, in bytes: 8,400 backend servers take 1.6 MB of YAML. */
export const maxFileBytes = 8_388_608;

/** Exit code of a process whose settings or command line are faulty. */
export const badInputExitCode = 2;
