import { type HistoryLine, type Violation } from "./events.js";

/** Requests that a server may receive from gateways that have received its advertised limit. */
export interface ServerLimitBounds {
    /** Allowed in any one window: the limit times `factor`, plus `slack` requests. */
    readonly factor: number;
    readonly slack: number;
    readonly windowMs: number;
    /** Time from the first advertisement until the limit must be enforced, in milliseconds. */
    readonly settleMs: number;
    /** Time that a gateway has to apply the limit after it forwarded a response that advertises it, in milliseconds. */
    readonly gatewayGraceMs: number;
}

interface LimitedServer {
    readonly firstAdvertisedAtMs: number;
    /** Every limit that the server has advertised, with its time; `Infinity` ends the limit. */
    readonly limits: { readonly atMs: number; readonly perSecond: number; }[];
    readonly receivedAtMs: Map<string, number>;
    readonly arrivals: HistoryLine[];
}

/**
 * Checks that a server that advertises a rate limit receives no more requests than that from all gateways together that
 * have received the limit.
 *
 * @param history - every line of a run, ordered by time; `callerSent` lines must have a gateway
 * @param bounds - the tolerance
 * @returns violations; empty if the invariant held
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
                    ?? { firstAdvertisedAtMs: line.atMs, limits: [], receivedAtMs: new Map(), arrivals: [] };
                servers.set(line.server, server);
                server.limits.push({ atMs: line.atMs, perSecond: line.perSecond ?? Infinity });
                break;
            }
            case "limitPassedOn": {
                const received = servers.get(line.server)?.receivedAtMs;
                received?.set(line.gateway, received.get(line.gateway) ?? line.atMs);
                break;
            }
            case "serverStarted":
            case "serverTurnedAway": {
                const server = servers.get(line.server);
                const receivedAtMs = server?.receivedAtMs.get(gatewayOf.get(line.requestId) ?? "") ?? Infinity;
                if (
                    server === undefined || line.atMs < server.firstAdvertisedAtMs + bounds.settleMs
                    || line.atMs < receivedAtMs + bounds.gatewayGraceMs
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
    // The highest limit that was in force at any time of the window applies.
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
        detail:
            `${line.server} advertised ${perSecond} per second and got ${recent.length} requests in ${windowMs} ms, ${
                Math.floor(allowed)
            } are allowed`,
        lines: recent.map(({ sequence }) => sequence),
    };
}
