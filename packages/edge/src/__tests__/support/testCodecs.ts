import {
    type FleetConfiguration,
    readCrashReport,
    readGatewayRegistration,
    revisionOf,
    type RegisteredServer,
    type RolloutOrder,
    type RolloutStatus,
    type StateItem,
} from "@galenaglade/fleet-state";
import { type ParsedBackoff, type ParsedLimit } from "@galenaglade/placement";
import { type CallerKey } from "@galenaglade/workspaces";
import { findHeader, findHeaders, filterEndToEndHeaders, type RawHeaders } from "@galenaglade/http-parts";
import { type KeyValue } from "@galenaglade/platform";
import {
    type ResponseMetadata,
    EdgeMetadataCodec,
    type ForwardMetadata,
    type RequestMetadata,
    StateCodec,
} from "../../index.js";

/** Header names used by the callers and backend servers of tests. */
export class TestMetadataCodec extends EdgeMetadataCodec {
    override readonly readinessPath = "/ready";

    override readRequest(headers: RawHeaders): RequestMetadata {
        const patience = findHeader(headers, "x-patience-ms");
        return {
            requestId: findHeader(headers, "x-id"),
            patienceMs: patience === undefined ? undefined : Number(patience),
            callerKey: readKey(findHeaders(headers, "x-key")),
        };
    }

    override createForwardHeaders(headers: RawHeaders, metadata: ForwardMetadata): string[] {
        const { identity } = metadata;
        const isDropped = (name: string): boolean =>
            name === "x-patience-ms" || (identity.type !== "unchecked" && ["x-key", "x-workspace"].includes(name));
        const kept = filterEndToEndHeaders(headers, isDropped);
        if (identity.type === "workspace") {
            kept.push("x-workspace", identity.name);
        }
        return [...kept, "x-patience-ms", String(metadata.remainingMs), "x-for", metadata.serverId];
    }

    override readResponse(_status: number, headers: RawHeaders): ResponseMetadata {
        const load = findHeader(headers, "x-load")?.split(",").map(Number);
        const [running = 0, waiting = 0, slots = 3, slowdown = 1] = load ?? [];
        return {
            requestId: findHeader(headers, "x-id"),
            signed: findHeader(headers, "x-signed") !== undefined,
            notRun: findHeader(headers, "x-not-run") !== undefined,
            serverId: findHeader(headers, "x-server"),
            load: load === undefined ? undefined : { running, waiting, slots, slowdown },
            coldRemainingMs: Number(findHeader(headers, "x-cold-ms") ?? 0),
            limit: readLimit(findHeader(headers, "x-limit")),
            backoff: readBackoff(findHeader(headers, "x-rest")),
            leaving: findHeader(headers, "x-leaving") !== undefined,
            unknownHeaders: findHeader(headers, "x-riddle") === undefined ? [] : ["x-riddle"],
        };
    }
}

function readKey(values: readonly string[]): CallerKey {
    const [key, ...others] = values;
    if (key === undefined) {
        return { type: "none" };
    }
    return others.length === 0 ? { type: "given", key } : { type: "malformed" };
}

function readBackoff(text: string | undefined): ParsedBackoff {
    if (text === undefined) {
        return { type: "none" };
    }
    const seconds = Number(text);
    return seconds >= 0 ? { type: "asked", forMs: seconds * 1_000 } : { type: "malformed", text };
}

function readLimit(text: string | undefined): ParsedLimit {
    return text === undefined ? { type: "none" } : { type: "named", perSecond: Number(text) };
}

/** Store keys of tests; each value is the item as JSON. */
export class TestStateCodec extends StateCodec {
    override isAfterOperatorKeys(key: string): boolean {
        return key > "servers/";
    }

    override readonly prefix = "";

    override registrationKey(gateway: string): string {
        return `gateways/${gateway}`;
    }

    override crashReportKey(gateway: string): string {
        return `crashes/${gateway}`;
    }

    override rolloutStatusKey(service: string): string {
        return `statuses/${service}`;
    }

    override encodeRolloutStatus(status: RolloutStatus): string {
        return JSON.stringify(status);
    }

    protected override decodeEntry({ key, value, leaseId, modifiedRevision }: KeyValue): StateItem {
        if (key.startsWith("orders/")) {
            return { type: "rolloutOrder", key, order: JSON.parse(value) as RolloutOrder };
        }
        if (key.startsWith("statuses/")) {
            const status = JSON.parse(value) as RolloutStatus;
            return { type: "rolloutStatus", key, status, revision: modifiedRevision };
        }
        if (key.startsWith("gateways/")) {
            const name = key.slice("gateways/".length);
            return { type: "gateway", key, name, leaseId, registration: readGatewayRegistration(value) };
        }
        if (key.startsWith("crashes/")) {
            const report = readCrashReport(value);
            return report === undefined
                ? { type: "ignored", key, reason: "malformed" }
                : {
                    type: "crashReport",
                    key,
                    gateway: key.slice("crashes/".length),
                    report,
                    revision: modifiedRevision,
                };
        }
        if (key.startsWith("out/")) {
            return {
                type: "zoneOut",
                key,
                availabilityZone: key.slice("out/".length),
                revision: revisionOf(modifiedRevision),
            };
        }
        if (key === "configuration") {
            return { type: "configuration", key, configuration: JSON.parse(value) as FleetConfiguration };
        }
        return { type: "server", key, server: JSON.parse(value) as RegisteredServer };
    }
}
