import { type BackendServer } from "@galenaglade/configuration";
import { latencyWeight, maxLatencyAgeMs, maxReportAgeMs, maxSendsPerReport } from "./constants.js";
import { type Candidate } from "./routingPolicy.js";
import { type ServerId, type ServerLoad } from "./serverSignal.js";

interface PeerCount {
    readonly inFlight: number;
    readonly atMs: number;
}

/** What this gateway knows of one backend server. */
class ServerEntry {
    ownInFlight = 0;
    reportedOthers = 0;
    reportedAtMs = -Infinity;
    reportUses = 0;
    latencyMs: number | undefined;
    latencyAtMs = -Infinity;
    readonly peers = new Map<string, PeerCount>();
}

/** A backend server's own word on its load, as an answer or a probe brought it. */
export interface InFlightReport {
    /** Requests in flight from everybody, the answered one included. */
    readonly inFlight: number;
}

/**
 * Keeps what is known of each backend server's load: own counts exactly, everybody else's from the servers' own
 * words and from peers, each with its age.
 */
export class ServerLoadTracker {
    readonly #entries = new Map<ServerId, ServerEntry>();

    /** Counts a request as in flight, from before its first byte is handed over. */
    onSent(serverId: ServerId): void {
        const entry = this.#entry(serverId);
        entry.ownInFlight++;
        entry.reportUses++;
    }

    /**
     * Counts a request as ended.
     *
     * @param serverId - where it ran
     * @param nowMs - the present time
     * @param latencyMs - time to the answer's head; `undefined` where none came
     */
    onEnded(serverId: ServerId, nowMs: number, latencyMs: number | undefined): void {
        const entry = this.#entry(serverId);
        entry.ownInFlight = Math.max(0, entry.ownInFlight - 1);
        if (latencyMs !== undefined) {
            const fresh = nowMs - entry.latencyAtMs <= maxLatencyAgeMs ? entry.latencyMs : undefined;
            entry.latencyMs = fresh === undefined ? latencyMs : fresh + latencyWeight * (latencyMs - fresh);
            entry.latencyAtMs = nowMs;
        }
    }

    /** Takes a server's own word; `ownInFlight` is still counted with the request that brought it. */
    onReport(serverId: ServerId, report: InFlightReport, nowMs: number): void {
        const entry = this.#entry(serverId);
        entry.reportedOthers = Math.max(0, report.inFlight - entry.ownInFlight);
        entry.reportedAtMs = nowMs;
        entry.reportUses = 0;
    }

    /** Takes a peer's word on what it has in flight itself. */
    onPeerLoad(peer: string, load: ServerLoad, nowMs: number): void {
        this.#entry(load.serverId).peers.set(peer, { inFlight: load.ownInFlight, atMs: nowMs - load.ageMs });
    }

    /** @returns own in-flight counts above zero, to be told to peers */
    ownLoads(nowMs: number): readonly ServerLoad[] {
        const loads: ServerLoad[] = [];
        for (const [serverId, entry] of this.#entries) {
            if (entry.ownInFlight > 0) {
                loads.push(toLoad(serverId, entry, nowMs));
            }
        }
        return loads;
    }

    /** @returns what this gateway knows of one server's load; zero and no report where it knows nothing */
    load(serverId: ServerId, nowMs: number): ServerLoad {
        return toLoad(serverId, this.#entries.get(serverId) ?? new ServerEntry(), nowMs);
    }

    /** @returns requests in flight from this gateway */
    ownInFlight(serverId: ServerId): number {
        return this.#entries.get(serverId)?.ownInFlight ?? 0;
    }

    /** Describes one server as a policy sees it. */
    createCandidate(
        serverId: ServerId,
        server: BackendServer,
        local: boolean,
        usesPeerLoads: boolean,
        nowMs: number,
    ): Candidate {
        const entry = this.#entry(serverId);
        return {
            serverId,
            server,
            local,
            ownInFlight: entry.ownInFlight,
            othersInFlight: usesPeerLoads ? peerInFlight(entry, nowMs) : reportedInFlight(entry, nowMs),
            lastReported: Number.isFinite(entry.reportedAtMs)
                ? { othersInFlight: entry.reportedOthers, ageMs: nowMs - entry.reportedAtMs }
                : undefined,
            latencyMs: nowMs - entry.latencyAtMs <= maxLatencyAgeMs ? entry.latencyMs : undefined,
        };
    }

    /** Forgets servers that the configuration no longer names, once nothing is in flight to them. */
    retain(serverIds: ReadonlySet<ServerId>): void {
        for (const [serverId, entry] of this.#entries) {
            if (!serverIds.has(serverId) && entry.ownInFlight === 0) {
                this.#entries.delete(serverId);
            }
        }
    }

    #entry(serverId: ServerId): ServerEntry {
        let entry = this.#entries.get(serverId);
        if (entry === undefined) {
            entry = new ServerEntry();
            this.#entries.set(serverId, entry);
        }
        return entry;
    }
}

function toLoad(serverId: ServerId, entry: ServerEntry, nowMs: number): ServerLoad {
    const { ownInFlight, reportedOthers, reportedAtMs } = entry;
    return Number.isFinite(reportedAtMs)
        ? { serverId, ownInFlight, reportedInFlight: reportedOthers + ownInFlight, ageMs: nowMs - reportedAtMs }
        : { serverId, ownInFlight, reportedInFlight: undefined, ageMs: 0 };
}

/**
 * A low report attracts every request until the next one comes. It is left out after a few uses or a fraction of a
 * second, so that a stale word costs at most a handful of requests.
 */
function reportedInFlight(entry: ServerEntry, nowMs: number): number | undefined {
    const usable = nowMs - entry.reportedAtMs <= maxReportAgeMs && entry.reportUses < maxSendsPerReport;
    return usable ? entry.reportedOthers : undefined;
}

function peerInFlight(entry: ServerEntry, nowMs: number): number | undefined {
    let sum: number | undefined;
    for (const count of entry.peers.values()) {
        if (nowMs - count.atMs <= maxReportAgeMs) {
            sum = (sum ?? 0) + count.inFlight;
        }
    }
    return sum;
}
