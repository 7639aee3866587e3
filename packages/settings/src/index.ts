/** Process settings in YAML. All faults are reported at once with their lines, before any port is opened. */
export { adminSettingsSchema, resolveAdminSettings, type ResolvedAdminSettings } from "./adminSettings.js";
export { badInputExitCode, maxFileBytes, minFleetKeyLength } from "./constants.js";
export { gatewaySettingsSchema, type ResolvedGatewaySettings, resolveGatewaySettings } from "./gatewaySettings.js";
export { loadSettings, printSettings, resolveStartup, type SettingsResolver, type Startup } from "./loadSettings.js";
export { type ReadText, readTextFile } from "./resolveSettings.js";
export { type Program, runProgram } from "./runProgram.js";
export { Secret } from "./secret.js";
