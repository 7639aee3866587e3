import { type ColdStartHeartbeat } from "@galenaglade/cold-start";
import { configurationSchema, type ConfigurationRevision } from "@galenaglade/configuration";
import {
    type ConfigurationOffer,
    type GatewayIdentity,
    type Heartbeat,
    type OfferAnswer,
    type Roster,
} from "@galenaglade/membership";
import { type ServerId } from "@galenaglade/routing";
import * as z from "zod";
import { maxObservedServers } from "./constants.js";
import { type ServerObservations } from "./serverObservation.js";

/** Most gateways that a message may name. */
const maximumGateways = 1_000;
const maximumSignals = 256;
const maximumLoads = 2_000;

const name = z.string().min(1).max(128);
const count = z.number().int().min(0);
const ageMs = z.number().min(0);
const serverId = z.string().max(256).regex(/^[^/]+\/[^/]+$/).transform(text => text as ServerId);

/** A gateway's identity as messages and the store hold it. */
export const identitySchema: z.ZodType<GatewayIdentity> = z.object({
    name,
    incarnation: name,
    availabilityZone: name,
    peerAddress: z.string().max(64).regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, "IP number and port"),
});

const identities = z.array(identitySchema).max(maximumGateways);

/** A roster as messages and the store hold it. */
export const rosterSchema: z.ZodType<Roster> = z.object({
    version: z.number().int().min(1),
    members: identities,
    previous: identities.optional(),
});

const revisedConfiguration: z.ZodType<ConfigurationRevision> = z.object({
    revision: z.number().int().min(1),
    changeId: name,
    configuration: configurationSchema,
});

const serverSignal = z.object({
    serverId,
    kind: z.enum(["turnedCold", "warm", "leaving"]),
    epoch: count,
    incarnation: z.string().max(256).optional(),
    ageMs,
}).transform(signal => ({ ...signal, incarnation: signal.incarnation }));

const serverLoad = z.object({
    serverId,
    ownInFlight: count,
    reportedInFlight: count.optional(),
    ageMs,
}).transform(load => ({ ...load, reportedInFlight: load.reportedInFlight }));

/** A heartbeat, and the answer to one. */
export const heartbeatSchema: z.ZodType<Heartbeat> = z.object({
    from: identitySchema,
    revision: count,
    rosterVersion: count,
    freshnessAgeMs: ageMs.optional(),
    recovering: z.boolean(),
    signals: z.array(serverSignal).max(maximumSignals),
    loads: z.array(serverLoad).max(maximumLoads),
    stopping: z.boolean(),
}).transform(heartbeat => ({ ...heartbeat, freshnessAgeMs: heartbeat.freshnessAgeMs }));

/** `name/incarnation`. */
const gatewayLife = z.string().min(1).max(512);
/** Most backend servers that one word on cold start may be about. */
const maximumWords = 10_000;

/** What gateways tell each other about servers that they may not send to freely. */
export const coldStartWordSchema: z.ZodType<ColdStartHeartbeat> = z.object({
    from: gatewayLife,
    rosterVersion: count,
    leases: z.array(z.object({ holder: gatewayLife, sequence: count, ageMs })).max(maximumGateways),
    words: z.array(z.object({ serverId, epoch: count, inFlight: count })).max(maximumWords),
    departures: z.array(z.object({ gateway: gatewayLife, stoppedAgoMs: z.number() })).max(maximumGateways),
    absent: z.array(gatewayLife).max(maximumGateways),
    isAskerSuspended: z.boolean(),
    signals: z.array(serverSignal).max(maximumWords),
});

/** All that a process holds. */
export const offerSchema: z.ZodType<ConfigurationOffer> = z.object({
    offered: revisedConfiguration.optional(),
    roster: rosterSchema.optional(),
}).transform(offer => ({ offered: offer.offered, roster: offer.roster }));

/** A gateway's word on an offer. */
export const offerAnswerSchema: z.ZodType<OfferAnswer> = z.object({
    gateway: identitySchema,
    revision: count,
    rosterVersion: count,
    recentCallers: identities,
});

/** Which backend servers are asked for. */
export const observationQuerySchema = z.object({ service: name.optional() });

// The operators' messages hold 32 bits. A number beyond them would fail the whole list, with every gateway's word, for
// the fault of one.
const count32 = count.max(2 ** 32 - 1);

const serverObservation = z.object({
    serverId,
    state: z.enum(["cold", "warm", "leaving"]).optional(),
    ownInFlight: count32,
    reportedInFlight: count32.optional(),
    reportedAgeMs: count32.optional(),
}).transform(seen => ({
    ...seen,
    state: seen.state,
    reportedInFlight: seen.reportedInFlight,
    reportedAgeMs: seen.reportedAgeMs,
}));

/** What a gateway knows of the backend servers. */
export const serverObservationsSchema: z.ZodType<ServerObservations> = z.object({
    gateway: name,
    servers: z.array(serverObservation).max(maxObservedServers),
    omitted: count.max(1_000_000),
});
