import {
    type BackendServerObservation,
    BackendServerState,
    type BackendServerStatus,
    type Host,
    HostState,
    type Standing,
    ZoneState,
} from "@galenaglade/schema";
import { Command, type CommandContext, reportCallError } from "../command.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";
import { describeExceptions, formatGateways, summarize, toStandingObject } from "../standingOutput.js";
import { formatTable } from "../terminal.js";

const hostStates: Readonly<Record<HostState, string>> = {
    [HostState.UNSPECIFIED]: "unknown",
    [HostState.LIVE]: "live",
    [HostState.LEAVING]: "leaving",
    [HostState.UNLISTED]: "unlisted",
};

const serverStates: Readonly<Record<BackendServerState, string>> = {
    [BackendServerState.UNSPECIFIED]: "unknown",
    [BackendServerState.WARM]: "warm",
    [BackendServerState.COLD]: "cold",
    [BackendServerState.LEAVING]: "leaving",
    [BackendServerState.UNREACHABLE]: "unreachable",
};

/** Prints how things stand: the present configuration, the hosts and the backend servers. */
export class StatusCommand extends Command {
    readonly name = "status";
    readonly operands = [];
    readonly summary = "print whether the configuration is in force, the hosts and the backend servers";
    readonly options = [];
    readonly remote = true;

    override async run(context: CommandContext): Promise<ExitCode> {
        const answer = await context.client.call(async (operator, options) => ({
            standing: (await operator.getStanding({}, options)).standing,
            hosts: (await operator.listHosts({}, options)).hosts,
            servers: (await operator.listBackendServers({}, options)).backendServers,
        }));
        return answer.caseOf<ExitCode>({
            Left: error => reportCallError(context, error),
            Right: ({ standing, hosts, servers }) =>
                standing === undefined ? exitCodes.failed : report(context, standing, hosts, servers),
        });
    }
}

function report(
    { json, terminal }: CommandContext,
    standing: Standing,
    hosts: readonly Host[],
    servers: readonly BackendServerStatus[],
): ExitCode {
    const lines = json
        ? [JSON.stringify({
            standing: toStandingObject(standing),
            hosts: hosts.map(toHostObject),
            backendServers: servers.map(toServerObject),
        })]
        : [
            summarize(standing),
            ...describeExceptions({ ...standing, gateways: [] }),
            "",
            ...formatGateways(standing.gateways),
            "",
            ...formatTable(["HOST", "ZONE", "ADDRESS", "STATE"], hosts.map(formatHost)),
            "",
            ...formatTable(
                ["SERVICE", "BACKEND SERVER", "ZONE", "ADDRESS", "HOST", "STATE"],
                servers.map(formatServer),
            ),
        ];
    lines.forEach(line => terminal.out(line));
    return standing.inForce ? exitCodes.ok : exitCodes.notInForce;
}

function toHostObject({ name, availabilityZone, address, state }: Host) {
    return { name, availabilityZone, address, state: hostStates[state] };
}

function formatHost({ name, availabilityZone, address, state }: Host): readonly string[] {
    return [name, availabilityZone, address === "" ? "-" : address, hostStates[state]];
}

function toServerObject({ service, backendServer, zoneState, hostState, observations }: BackendServerStatus) {
    return {
        service,
        name: backendServer?.name,
        availabilityZone: backendServer?.availabilityZone,
        address: backendServer?.address,
        port: backendServer?.port,
        zoneOut: zoneState === ZoneState.OUT,
        host: hostStates[hostState],
        observations: observations.map(({ gateway, state, inFlight }) => ({
            gateway,
            state: serverStates[state],
            inFlight,
        })),
    };
}

function formatServer(
    { service, backendServer, zoneState, hostState, observations }: BackendServerStatus,
): readonly string[] {
    return [
        service,
        backendServer?.name ?? "",
        backendServer?.availabilityZone ?? "",
        `${backendServer?.address ?? ""} port ${backendServer?.port ?? ""}`,
        hostStates[hostState],
        zoneState === ZoneState.OUT ? "zone out" : describeObservations(observations),
    ];
}

/** Gateways may see a server differently; each state is said with how many see it so. */
function describeObservations(observations: readonly BackendServerObservation[]): string {
    if (observations.length === 0) {
        return "declared";
    }
    const counts = new Map<string, number>();
    for (const { state } of observations) {
        counts.set(serverStates[state], (counts.get(serverStates[state]) ?? 0) + 1);
    }
    const states = [...counts].map(([state, count]) => `${state} (${count})`).join(", ");
    const inFlight = observations.reduce((sum, observation) => sum + observation.inFlight, 0);
    return `${states}, ${inFlight} in flight`;
}
