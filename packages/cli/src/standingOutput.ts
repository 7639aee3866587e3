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
 * Says how far a change has come.
 *
 * @param context - where to say it
 * @param standing - how far
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
 * Makes a standing into what is printed as JSON.
 *
 * @param standing - the standing
 * @returns an object of plain values
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
 * Says a standing in one line.
 *
 * @param standing - the standing
 * @returns the line
 */
export function summarizeStanding({ revision, inForce, gateways }: Standing): string {
    const holding = gateways.filter(({ state }) => state === GatewayState.IN_FORCE).length;
    const state = inForce ? "in force" : "stored, not in force yet";
    return `revision ${revision}: ${state}, held by ${holding} of ${gateways.length} gateways`;
}

/**
 * Says what an operator has to know beyond the summary.
 *
 * @param standing - the standing
 * @returns lines; none where all is well
 */
export function describeProblems({ gateways, zonesOut, unservedServices }: Standing): readonly string[] {
    const late = gateways.filter(({ state }) => state !== GatewayState.IN_FORCE);
    const lines = late.length === 0 ? [] : [...formatGateways(late)];
    if (zonesOut.length > 0) {
        lines.push(`availability zones out: ${zonesOut.join(", ")}`);
    }
    if (unservedServices.length > 0) {
        lines.push(`warning: no backend server in any availability zone that is in: ${unservedServices.join(", ")}`);
    }
    return lines;
}

/**
 * Lays gateways out as a table.
 *
 * @param gateways - the gateways
 * @returns its lines
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
