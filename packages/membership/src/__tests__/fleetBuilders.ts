import { type ConfigurationRevision } from "@galenaglade/configuration";
import {
    defaultFleetTimings,
    FleetMember,
    type FleetSurvey,
    type GatewayIdentity,
    type Heartbeat,
    type VersionReport,
    type Roster,
} from "../index.js";

export const timings = defaultFleetTimings;
/** Time for which a gateway that missed a change may accept work after a majority holds the change. */
export const majorityWaitMs = timings.freshForMs + timings.marginMs;

export function gateway(name: string, incarnation = "1"): GatewayIdentity {
    return { name, incarnation, availabilityZone: "a", peerAddress: `127.0.0.1:${10_000 + Number(name.slice(2))}` };
}

export function roster(version: number, names: readonly string[], previous?: readonly string[]): Roster {
    return {
        version,
        members: names.map(name => gateway(name)),
        previous: previous?.map(name => gateway(name)),
    };
}

export function createRevision(revision: number): ConfigurationRevision {
    return {
        revision,
        changeId: `change-${revision}`,
        configuration: { timeZone: "UTC", callerKindHeader: "x-caller-kind", availabilityZones: [], services: [] },
    };
}

export function heartbeat(from: string, revision: number, more: Partial<Heartbeat> = {}): Heartbeat {
    return {
        from: gateway(from),
        revision,
        rosterVersion: 1,
        freshnessAgeMs: undefined,
        recovering: false,
        signals: [],
        loads: [],
        stopping: false,
        ...more,
    };
}

export function createVersionReport(
    from: string,
    revision: number,
    startedAtMs: number,
    more: Partial<VersionReport> = {},
) {
    return {
        gateway: gateway(from),
        revision,
        rosterVersion: 1,
        recentCallers: [],
        startedAtMs,
        answeredAtMs: startedAtMs + 1,
        ...more,
    };
}

export function survey(current: Roster | undefined, registered: readonly string[]): FleetSurvey {
    return {
        roster: current,
        rosterKeyRevision: current?.version ?? 0,
        registered: registered.map(name => gateway(name)),
        forgotten: [],
        hostNames: undefined,
        headRevision: 1,
    };
}

export function createMember(name = "gw1"): FleetMember {
    return new FleetMember({ self: gateway(name), seeds: [], timings }, 0);
}

/** Passes the result of a read of the store to a member. */
export function storeRead(member: FleetMember, startedAtMs: number, nowMs: number, head: number, current: Roster) {
    return member.handle(
        { type: "storeRead", startedAtMs, head: createRevision(head), roster: current, survey: undefined },
        nowMs,
    );
}

/** Passes a peer's heartbeat response to a member. */
export function heartbeatAnswered(member: FleetMember, startedAtMs: number, nowMs: number, peer: Heartbeat) {
    const event = { type: "heartbeatAnswered", address: peer.from.peerAddress, startedAtMs, heartbeat: peer } as const;
    return member.handle(event, nowMs);
}
