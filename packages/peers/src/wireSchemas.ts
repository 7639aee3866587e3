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

/** Maximum number of gateways in each list of a message. */
const maxGateways = 1_000;
const maxSignals = 256;
const maxLoads = 2_000;

const name = z.string().min(1).max(128);
const count = z.number().int().min(0);
const ageMs = z.number().min(0);
const serverId = z.string().max(256).regex(/^[^/]+\/[^/]+$/).transform(text => text as ServerId);

/** A gateway's identity in messages and in the store. */
export const identitySchema: z.ZodType<GatewayIdentity> = z.object({
    name,
    incarnation: name,
    availabilityZone: name,
    peerAddress: z.string().max(64).regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, "IP number and port"),
});

const identities = z.array(identitySchema).max(maxGateways);

/** A roster in messages and in the store. */
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

/** A heartbeat or the response to one. */
export const heartbeatSchema: z.ZodType<Heartbeat> = z.object({
    from: identitySchema,
    revision: count,
    rosterVersion: count,
    freshnessAgeMs: ageMs.optional(),
    recovering: z.boolean(),
    signals: z.array(serverSignal).max(maxSignals),
    loads: z.array(serverLoad).max(maxLoads),
    stopping: z.boolean(),
}).transform(heartbeat => ({ ...heartbeat, freshnessAgeMs: heartbeat.freshnessAgeMs }));

/** A gateway process, as `name/incarnation`. */
const gatewayProcess = z.string().min(1).max(512);
/** Maximum number of backend servers in a cold start heartbeat. */
const maxColdServers = 10_000;

/** Cold start state that gateways exchange, about servers to which they may send a limited number of requests. */
export const coldStartHeartbeatSchema: z.ZodType<ColdStartHeartbeat> = z.object({
    from: gatewayProcess,
    rosterVersion: count,
    leases: z.array(z.object({ holder: gatewayProcess, sequence: count, ageMs })).max(maxGateways),
    words: z.array(z.object({ serverId, epoch: count, inFlight: count })).max(maxColdServers),
    departures: z.array(z.object({ gateway: gatewayProcess, stoppedAgoMs: z.number() })).max(maxGateways),
    absent: z.array(gatewayProcess).max(maxGateways),
    isAskerSuspended: z.boolean(),
    signals: z.array(serverSignal).max(maxColdServers),
});

/** The configuration and roster that a process holds. */
export const offerSchema: z.ZodType<ConfigurationOffer> = z.object({
    offered: revisedConfiguration.optional(),
    roster: rosterSchema.optional(),
}).transform(offer => ({ offered: offer.offered, roster: offer.roster }));

/** A gateway's response to an offer. */
export const offerAnswerSchema: z.ZodType<OfferAnswer> = z.object({
    gateway: identitySchema,
    revision: count,
    rosterVersion: count,
    recentCallers: identities,
});

/** Request for observations of one service's backend servers or, without a name, of all. */
export const observationQuerySchema = z.object({ service: name.optional() });

// The operator API has 32-bit fields. A larger number from one faulty gateway would fail the whole list, with the
// observations of all gateways.
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

/** A gateway's view of the backend servers. */
export const serverObservationsSchema: z.ZodType<ServerObservations> = z.object({
    gateway: name,
    servers: z.array(serverObservation).max(maxObservedServers),
    omitted: count.max(1_000_000),
});
