import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { type Contact, ContactEvidence, type LossEvidence } from "@galenaglade/reachability";
import { type LogFields } from "@galenaglade/telemetry";
import { type EdgeLog } from "../telemetry/edgeLog.js";

/** What is needed to tell whether servers are reached. */
export interface ServerReachParts {
    readonly view: FleetView;
    readonly clock: Clock;
    readonly log: EdgeLog;
}

/** Notices when this host stops hearing the servers of a service, and when it hears them again. */
export class ServerReach {
    readonly #parts: ServerReachParts;
    readonly #evidence = new Map<string, ContactEvidence>();
    readonly #lost = new Set<string>();

    constructor(parts: ServerReachParts) {
        this.#parts = parts;
    }

    /** An exchange with a server has ended. */
    onContact(contact: Contact): void {
        const { view, clock, log } = this.#parts;
        const { service } = contact;
        const evidence = this.#evidence.get(service) ?? new ContactEvidence();
        this.#evidence.set(service, evidence);
        evidence.onContact(contact);
        const nowMs = clock.monotonicMs();
        const loss = evidence.findLoss(view.usableServers(service, nowMs).length, nowMs);
        if (loss !== undefined && !this.#lost.has(service)) {
            this.#lost.add(service);
            log.log("warn", "serversLost", { service, ...describeLoss(loss) });
        }
        if (loss === undefined && this.#lost.delete(service)) {
            log.log("info", "serversRegained", { service, serverId: contact.serverId });
        }
    }
}

function describeLoss({ kind, servers, ends, forMs, heardAgoMs }: LossEvidence): LogFields {
    return {
        kind,
        servers,
        ends: Object.entries(ends).map(([end, count]) => `${end}:${count}`).join(","),
        forMs: Math.round(forMs),
        heardAgoMs: heardAgoMs === undefined ? undefined : Math.round(heardAgoMs),
    };
}
