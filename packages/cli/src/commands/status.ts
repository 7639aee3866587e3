import {
    type BackendServerObservation,
    BackendServerState,
    type BackendServerStatus,
    type Host,
    HostState,
    type ListBackendServersResponse,
    type Standing,
    ZoneState,
} from "@galenaglade/schema";
import { Command, type CommandContext, reportCallError } from "../command.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";
import { describeProblems, formatGateways, summarizeStanding, toStandingObject } from "../standingOutput.js";
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

/** Prints the state of the current configuration, the hosts and the backend servers. */
export class StatusCommand extends Command {
    readonly name = "status";
    readonly operands = [];
    readonly summary = "print whether the configuration is in force, the hosts and the backend servers";
    readonly options = [];
    readonly usesAdmin = true;

    override async run(context: CommandContext): Promise<ExitCode> {
        const result = await context.client.call(async (operator, options) => ({
            standing: (await operator.getStanding({}, options)).standing,
            hosts: (await operator.listHosts({}, options)).hosts,
            servers: await operator.listBackendServers({}, options),
        }));
        return result.caseOf<ExitCode>({
            Left: error => reportCallError(context, error),
            Right: ({ standing, hosts, servers }) =>
                standing === undefined ? exitCodes.failed : printStatus(context, standing, hosts, servers),
        });
    }
}

function printStatus(
    { json, terminal }: CommandContext,
    standing: Standing,
    hosts: readonly Host[],
    servers: ListBackendServersResponse,
): ExitCode {
    const lines = json
        ? [JSON.stringify({
            standing: toStandingObject(standing),
            hosts: hosts.map(toHostObject),
            backendServers: servers.backendServers.map(toServerObject),
            unansweredGateways: servers.unansweredGateways,
            omittedObservations: servers.omittedObservations,
            observationFailure: servers.observationFailure,
        })]
        : [
            summarizeStanding(standing),
            ...describeProblems({ ...standing, gateways: [] }),
            "",
            ...formatGateways(standing.gateways),
            "",
            ...formatTable(["HOST", "ZONE", "ADDRESS", "STATE"], hosts.map(formatHost)),
            "",
            ...formatTable(
                ["SERVICE", "BACKEND SERVER", "ZONE", "ADDRESS", "HOST", "STATE"],
                servers.backendServers.map(formatServer),
            ),
            ...describeMissingData(servers),
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
        observations: observations.map(observation => ({
            gateway: observation.gateway,
            state: serverStates[observation.state],
            inFlight: observation.inFlight,
            reportedInFlight: observation.reportedInFlight,
            reportedAgeMs: observation.reportedAgeMs,
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
        describeServer(zoneState, observations),
    ];
}

function describeServer(zoneState: ZoneState, observations: readonly BackendServerObservation[]): string {
    if (observations.length === 0) {
        return zoneState === ZoneState.OUT ? "zone out" : "declared";
    }
    const described = describeObservations(observations);
    return zoneState === ZoneState.OUT ? `zone out, ${described}` : described;
}

/** Gateways may report different states for a server; each is printed with the number of gateways that report it. */
function describeObservations(observations: readonly BackendServerObservation[]): string {
    const counts = new Map<string, number>();
    for (const { state } of observations) {
        counts.set(serverStates[state], (counts.get(serverStates[state]) ?? 0) + 1);
    }
    const states = [...counts].map(([state, count]) => `${state} (${count})`).join(", ");
    const inFlight = observations.reduce((sum, observation) => sum + observation.inFlight, 0);
    return [states, `${inFlight} in flight`, ...describeLoadReport(observations)].join(", ");
}

/** A server's load report counts the requests of all gateways, so only the most recent report is printed. */
function describeLoadReport(observations: readonly BackendServerObservation[]): readonly string[] {
    let latest: { readonly inFlight: number; readonly ageMs: number; } | undefined;
    for (const { reportedInFlight, reportedAgeMs } of observations) {
        if (reportedInFlight === undefined || reportedAgeMs === undefined) {
            continue;
        }
        if (latest === undefined || reportedAgeMs < latest.ageMs) {
            latest = { inFlight: reportedInFlight, ageMs: reportedAgeMs };
        }
    }
    return latest === undefined
        ? []
        : [`server reports ${latest.inFlight} (${(latest.ageMs / 1_000).toFixed(1)} s ago)`];
}

/** Warns about missing data: without it, a table without the requests of some gateways would look complete. */
function describeMissingData(servers: ListBackendServersResponse): readonly string[] {
    const { unansweredGateways, omittedObservations, observationFailure } = servers;
    const lines: string[] = [];
    if (observationFailure !== "") {
        lines.push(`warning: could not query the gateways about backend servers: ${observationFailure}`);
    }
    if (unansweredGateways.length > 0) {
        lines.push(`warning: not included, since they did not respond: ${unansweredGateways.join(", ")}`);
    }
    if (omittedObservations > 0) {
        lines.push(`warning: gateways omitted ${omittedObservations} observations to limit the response size`);
    }
    return lines;
}
