/** Minimum length of a fleet key in characters: 128 bits as hexadecimal digits. */
export const minFleetKeyLength = 32;

/**
 * Maximum size of a settings or configuration file in bytes; a configuration of 8,400 backend servers takes 1.6 MB of
 * YAML.
 */
export const maxFileBytes = 8_388_608;

/** Exit code of a process with invalid settings or command line arguments. */
export const badInputExitCode = 2;
