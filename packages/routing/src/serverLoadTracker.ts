import { type BackendServer } from "@galenaglade/configuration";
import { latencyWeight, maxLatencyAgeMs, maxReportAgeMs, maxSendsPerReport } from "./constants.js";
import { type Candidate } from "./routingPolicy.js";
import { type ServerId, type ServerLoad } from "./serverSignal.js";

/** Requests in flight from another gateway. */
interface PeerCount {
    readonly inFlight: number;
    readonly atMs: number;
}

/** Load data of one backend server. */
class ServerEntry {
    ownInFlight = 0;
    reportedOthersInFlight = 0;
    reportedAtMs = -Infinity;
    sendsSinceReport = 0;
    latencyMs: number | undefined;
    latencyAtMs = -Infinity;
    readonly peerCounts = new Map<string, PeerCount>();
}

/** In-flight count that a backend server reports in a response or a load probe. */
export interface InFlightReport {
    /** Requests in flight from all gateways, including the one being answered. */
    readonly inFlight: number;
}

/**
 * Tracks the load of each backend server: this gateway's requests exactly, those of other gateways from the servers'
 * reports and from the other gateways' heartbeats, each with its age.
 */
export class ServerLoadTracker {
    readonly #entries = new Map<ServerId, ServerEntry>();

    /** Counts a request as in flight; called before its first byte is sent. */
    onSent(serverId: ServerId): void {
        const entry = this.#getOrCreateEntry(serverId);
        entry.ownInFlight++;
        entry.sendsSinceReport++;
    }

    /**
     * Counts a request as ended.
     *
     * @param serverId - the server that it was sent to
     * @param nowMs - current time
     * @param latencyMs - time until the response head; `undefined` if there was no response
     */
    onEnded(serverId: ServerId, nowMs: number, latencyMs: number | undefined): void {
        const entry = this.#getOrCreateEntry(serverId);
        entry.ownInFlight = Math.max(0, entry.ownInFlight - 1);
        if (latencyMs !== undefined) {
            const fresh = nowMs - entry.latencyAtMs <= maxLatencyAgeMs ? entry.latencyMs : undefined;
            entry.latencyMs = fresh === undefined ? latencyMs : fresh + latencyWeight * (latencyMs - fresh);
            entry.latencyAtMs = nowMs;
        }
    }

    /** Records a server's report. Must be called while the request that carried it still counts as in flight. */
    onReport(serverId: ServerId, report: InFlightReport, nowMs: number): void {
        const entry = this.#getOrCreateEntry(serverId);
        entry.reportedOthersInFlight = Math.max(0, report.inFlight - entry.ownInFlight);
        entry.reportedAtMs = nowMs;
        entry.sendsSinceReport = 0;
    }

    /** Records how many requests another gateway has in flight. */
    onPeerLoad(peer: string, load: ServerLoad, nowMs: number): void {
        this.#getOrCreateEntry(load.serverId).peerCounts.set(peer, {
            inFlight: load.ownInFlight,
            atMs: nowMs - load.ageMs,
        });
    }

    /** @returns this gateway's load entries with requests in flight, to be sent to the other gateways */
    ownLoads(nowMs: number): readonly ServerLoad[] {
        const loads: ServerLoad[] = [];
        for (const [serverId, entry] of this.#entries) {
            if (entry.ownInFlight > 0) {
                loads.push(toServerLoad(serverId, entry, nowMs));
            }
        }
        return loads;
    }

    /** @returns the load of one server; zero and without a report if the server is unknown */
    load(serverId: ServerId, nowMs: number): ServerLoad {
        return toServerLoad(serverId, this.#entries.get(serverId) ?? new ServerEntry(), nowMs);
    }

    /** @returns requests in flight from this gateway */
    ownInFlight(serverId: ServerId): number {
        return this.#entries.get(serverId)?.ownInFlight ?? 0;
    }

    /** Creates the policy input for one server. */
    createCandidate(
        serverId: ServerId,
        server: BackendServer,
        local: boolean,
        usesPeerLoads: boolean,
        nowMs: number,
    ): Candidate {
        const entry = this.#getOrCreateEntry(serverId);
        return {
            serverId,
            server,
            local,
            ownInFlight: entry.ownInFlight,
            othersInFlight: usesPeerLoads ? recentPeerInFlight(entry, nowMs) : recentReportedOthers(entry, nowMs),
            lastReported: Number.isFinite(entry.reportedAtMs)
                ? { othersInFlight: entry.reportedOthersInFlight, ageMs: nowMs - entry.reportedAtMs }
                : undefined,
            latencyMs: nowMs - entry.latencyAtMs <= maxLatencyAgeMs ? entry.latencyMs : undefined,
        };
    }

    /** Removes servers that are no longer configured and have no requests in flight. */
    retain(serverIds: ReadonlySet<ServerId>): void {
        for (const [serverId, entry] of this.#entries) {
            if (!serverIds.has(serverId) && entry.ownInFlight === 0) {
                this.#entries.delete(serverId);
            }
        }
    }

    #getOrCreateEntry(serverId: ServerId): ServerEntry {
        let entry = this.#entries.get(serverId);
        if (entry === undefined) {
            entry = new ServerEntry();
            this.#entries.set(serverId, entry);
        }
        return entry;
    }
}

function toServerLoad(serverId: ServerId, entry: ServerEntry, nowMs: number): ServerLoad {
    const { ownInFlight, reportedOthersInFlight, reportedAtMs } = entry;
    return Number.isFinite(reportedAtMs)
        ? { serverId, ownInFlight, reportedInFlight: reportedOthersInFlight + ownInFlight, ageMs: nowMs - reportedAtMs }
        : { serverId, ownInFlight, reportedInFlight: undefined, ageMs: 0 };
}

/**
 * A low count attracts all requests until the next report. A report is ignored after a few sends or a fraction of a
 * second, so that a stale one misdirects at most a handful of requests.
 */
function recentReportedOthers(entry: ServerEntry, nowMs: number): number | undefined {
    const usable = nowMs - entry.reportedAtMs <= maxReportAgeMs && entry.sendsSinceReport < maxSendsPerReport;
    return usable ? entry.reportedOthersInFlight : undefined;
}

function recentPeerInFlight(entry: ServerEntry, nowMs: number): number | undefined {
    let sum: number | undefined;
    for (const count of entry.peerCounts.values()) {
        if (nowMs - count.atMs <= maxReportAgeMs) {
            sum = (sum ?? 0) + count.inFlight;
        }
    }
    return sum;
}
