import { type HistoryLine, type Violation } from "./events.js";

/** What a server that names a limit may get from gateways that it has told. */
export interface ServerLimitBounds {
    /** Times what the limit allows, and requests besides, in any one window. */
    readonly factor: number;
    readonly slack: number;
    readonly windowMs: number;
    /** Time from the first naming on until the limit must be kept, in milliseconds. */
    readonly settleMs: number;
    /** Time from an answer that passed through a gateway on until that gateway counts as told, in milliseconds. */
    readonly gatewayGraceMs: number;
}

interface LimitedServer {
    readonly namedAtMs: number;
    /** Every limit that it has named, `Infinity` for its end, with when. */
    readonly limits: { readonly atMs: number; readonly perSecond: number; }[];
    readonly toldAtMs: Map<string, number>;
    readonly arrivals: HistoryLine[];
}

/**
 * Checks that a server which names a limit of requests a second gets no more than it may from the gateways that it has told, all of them
 * together.
 *
 * @param history - every line of a run, in the order of its times; callers' requests name their gateways
 * @param bounds - what such a server may get
 * @returns what was found against it; empty where the invariant held
 */
export function checkServerLimit(history: readonly HistoryLine[], bounds: ServerLimitBounds): readonly Violation[] {
    const gatewayOf = new Map<string, string>();
    const servers = new Map<string, LimitedServer>();
    const violations: Violation[] = [];
    for (const line of history) {
        switch (line.type) {
            case "callerSent":
                gatewayOf.set(line.requestId, line.gateway ?? "");
                break;
            case "serverLimited": {
                const server: LimitedServer = servers.get(line.server)
                    ?? { namedAtMs: line.atMs, limits: [], toldAtMs: new Map(), arrivals: [] };
                servers.set(line.server, server);
                server.limits.push({ atMs: line.atMs, perSecond: line.perSecond ?? Infinity });
                break;
            }
            case "limitPassedOn": {
                const told = servers.get(line.server)?.toldAtMs;
                told?.set(line.gateway, told.get(line.gateway) ?? line.atMs);
                break;
            }
            case "serverStarted":
            case "serverTurnedAway": {
                const server = servers.get(line.server);
                const toldAtMs = server?.toldAtMs.get(gatewayOf.get(line.requestId) ?? "") ?? Infinity;
                if (
                    server === undefined || line.atMs < server.namedAtMs + bounds.settleMs
                    || line.atMs < toldAtMs + bounds.gatewayGraceMs
                ) {
                    break;
                }
                server.arrivals.push(line);
                const found = findExcess(server, line, bounds);
                if (found !== undefined) {
                    violations.push(found);
                }
            }
        }
    }
    return violations;
}

function findExcess(
    { limits, arrivals }: LimitedServer,
    line: HistoryLine & { readonly server: string; },
    { factor, slack, windowMs }: ServerLimitBounds,
): Violation | undefined {
    const fromMs = line.atMs - windowMs;
    // The highest limit that held at any time of the window.
    const heldAtStart = limits.findLast(({ atMs }) => atMs <= fromMs);
    const held = [...limits.filter(({ atMs }) => atMs > fromMs), ...(heldAtStart === undefined ? [] : [heldAtStart])];
    const perSecond = Math.max(...held.map(each => each.perSecond));
    const recent = arrivals.filter(({ atMs }) => atMs > fromMs);
    const allowed = perSecond * windowMs / 1_000 * factor + slack;
    if (recent.length <= allowed) {
        return undefined;
    }
    return {
        invariant: "serverLimit",
        detail: `${line.server} named ${perSecond} a second and got ${recent.length} requests in ${windowMs} ms, ${
            Math.floor(allowed)
        } are allowed`,
        lines: recent.map(({ sequence }) => sequence),
    };
}
