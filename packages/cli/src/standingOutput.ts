import { GatewayState, type GatewayStanding, type Standing } from "@galenaglade/schema";
import { type CommandContext } from "./command.js";
import { type ExitCode, exitCodes } from "./exitCodes.js";
import { formatTable } from "./terminal.js";

const gatewayStates: Readonly<Record<GatewayState, string>> = {
    [GatewayState.UNSPECIFIED]: "unknown",
    [GatewayState.IN_FORCE]: "in force",
    [GatewayState.BEHIND]: "behind",
    [GatewayState.UNREACHABLE]: "unreachable",
    [GatewayState.LAPSED]: "lapsed",
};

/**
 * Prints which gateways have the configuration in force.
 *
 * @param context - terminal and output format
 * @param standing - the revision and its state on each gateway
 * @returns the exit code
 */
export function reportStanding({ json, terminal }: CommandContext, standing: Standing): ExitCode {
    if (json) {
        terminal.out(JSON.stringify(toStandingObject(standing)));
    }
    else {
        terminal.out(summarizeStanding(standing));
        for (const line of describeProblems(standing)) {
            terminal.out(line);
        }
    }
    return standing.inForce ? exitCodes.ok : exitCodes.notInForce;
}

/**
 * Converts a `Standing` message to the object that is printed as JSON.
 *
 * @param standing - the message
 * @returns an object with plain values
 */
export function toStandingObject(standing: Standing) {
    const { revision, changeId, inForce, zonesOut, unservedServices } = standing;
    const gateways = standing.gateways.map(toGatewayObject);
    return { revision, changeId, inForce, zonesOut, unservedServices, gateways };
}

function toGatewayObject({ name, availabilityZone, state, revision }: GatewayStanding) {
    return { name, availabilityZone, state: gatewayStates[state], revision };
}

/**
 * Formats a one-line summary of a `Standing` message.
 *
 * @param standing - the revision and its state on each gateway
 * @returns one line of text
 */
export function summarizeStanding({ revision, inForce, gateways }: Standing): string {
    const inForceCount = gateways.filter(({ state }) => state === GatewayState.IN_FORCE).length;
    const state = inForce ? "in force" : "stored, not in force yet";
    return `revision ${revision}: ${state}, held by ${inForceCount} of ${gateways.length} gateways`;
}

/**
 * Describes conditions that need an operator's attention: gateways without the change in force, zones out of service
 * and services without backend servers.
 *
 * @param standing - the revision and its state on each gateway
 * @returns lines of text; empty if there are none
 */
export function describeProblems({ gateways, zonesOut, unservedServices }: Standing): readonly string[] {
    const notInForce = gateways.filter(({ state }) => state !== GatewayState.IN_FORCE);
    const lines = notInForce.length === 0 ? [] : [...formatGateways(notInForce)];
    if (zonesOut.length > 0) {
        lines.push(`availability zones out: ${zonesOut.join(", ")}`);
    }
    if (unservedServices.length > 0) {
        lines.push(`warning: no backend server in any availability zone that is in: ${unservedServices.join(", ")}`);
    }
    return lines;
}

/**
 * Formats gateways as a table.
 *
 * @param gateways - the gateways and their states
 * @returns lines of text
 */
export function formatGateways(gateways: readonly GatewayStanding[]): readonly string[] {
    const rows = gateways.map(({ name, availabilityZone, state, revision }) => [
        name,
        availabilityZone,
        gatewayStates[state],
        revision === undefined ? "-" : String(revision),
    ]);
    return formatTable(["GATEWAY", "ZONE", "STATE", "REVISION"], rows);
}
