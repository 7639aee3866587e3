/** The command-line interface for operators. */
export { type ExitCode, exitCodes } from "./exitCodes.js";
export { commands, main, type MainOptions } from "./main.js";
export { type Terminal } from "./terminal.js";
