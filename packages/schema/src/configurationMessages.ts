/** Converts configurations to and from messages of the operators' API, without adding defaults or dropping fields. */
import { create } from "@bufbuild/protobuf";
import { type ConfigurationInput, type Weekday } from "@galenaglade/configuration";
import {
    type AvailabilityZone as AvailabilityZoneMessage,
    type BackendServer as BackendServerMessage,
    type Configuration as ConfigurationMessage,
    ConfigurationSchema,
    type PatienceRule as PatienceRuleMessage,
    type Service as ServiceMessage,
    Weekday as WeekdayEnum,
    ZoneState as ZoneStateEnum,
} from "./generated/galenaglade/operator/v1/operator_pb.js";

type ServiceInput = ConfigurationInput["services"][number];
type AvailabilityZoneInput = ConfigurationInput["availabilityZones"][number];
type PatienceRuleInput = ServiceInput["patience"][number];
type BackendServerInput = ServiceInput["backendServers"][number];

const zoneStates = { in: ZoneStateEnum.IN, out: ZoneStateEnum.OUT } as const;

const weekdayEnums: Readonly<Record<Weekday, WeekdayEnum>> = {
    mon: WeekdayEnum.MON,
    tue: WeekdayEnum.TUE,
    wed: WeekdayEnum.WED,
    thu: WeekdayEnum.THU,
    fri: WeekdayEnum.FRI,
    sat: WeekdayEnum.SAT,
    sun: WeekdayEnum.SUN,
};

const weekdayNames = new Map(Object.entries(weekdayEnums).map(([name, value]) => [value, name as Weekday]));

/**
 * Converts an availability zone's state to its enum value.
 *
 * @param state - the declared state; `undefined` if none is declared
 * @returns the enum value
 */
export function toZoneStateEnum(state: AvailabilityZoneInput["state"]): ZoneStateEnum {
    return state === undefined ? ZoneStateEnum.UNSPECIFIED : zoneStates[state];
}

/**
 * Converts a configuration to a message.
 *
 * @param cfg - a validated configuration, with or without its defaults
 * @returns the message; absent fields stay absent
 */
export function toConfigurationMessage(cfg: ConfigurationInput): ConfigurationMessage {
    return create(ConfigurationSchema, {
        timeZone: cfg.timeZone,
        callerKindHeader: cfg.callerKindHeader,
        availabilityZones: cfg.availabilityZones.map(zone => ({
            name: zone.name,
            region: zone.region,
            state: toZoneStateEnum(zone.state),
        })),
        services: cfg.services.map(toServiceInit),
    });
}

function toServiceInit(service: ServiceInput) {
    return {
        name: service.name,
        authorities: [...service.authorities],
        pathPrefix: service.pathPrefix,
        nonIdempotentMethods: service.nonIdempotentMethods === undefined
            ? undefined
            : { names: [...service.nonIdempotentMethods] },
        requireIdempotencyKey: service.requireIdempotencyKey,
        maximumBodyBytes: service.maximumBodyBytes,
        patience: service.patience.map(rule => ({
            ...rule,
            weekdays: (rule.weekdays ?? []).map(day => weekdayEnums[day]),
        })),
        coldStart: service.coldStart,
        loadMeasuring: service.loadMeasuring,
        backendServers: [...service.backendServers],
    };
}

/**
 * Converts a message to a configuration. The result is not validated and must be passed to `resolveConfiguration`.
 *
 * @param message - the message
 * @returns the configuration as written
 */
export function fromConfigurationMessage(message: ConfigurationMessage): ConfigurationInput {
    return {
        timeZone: message.timeZone,
        callerKindHeader: message.callerKindHeader,
        availabilityZones: message.availabilityZones.map(fromZone),
        services: message.services.map(fromService),
    };
}

function fromZone(zone: AvailabilityZoneMessage): AvailabilityZoneInput {
    return { name: zone.name, region: zone.region, state: fromZoneState(zone.state) };
}

function fromZoneState(state: ZoneStateEnum): AvailabilityZoneInput["state"] {
    switch (state) {
        case ZoneStateEnum.UNSPECIFIED:
            return undefined;
        case ZoneStateEnum.IN:
            return "in";
        case ZoneStateEnum.OUT:
            return "out";
        default:
            // A state that only a newer schema defines. Validation rejects this value, whereas a guess could shift
            // traffic.
            return `unknown state ${String(state)}` as "out";
    }
}

function fromService(service: ServiceMessage): ServiceInput {
    return {
        name: service.name,
        authorities: [...service.authorities],
        pathPrefix: service.pathPrefix,
        nonIdempotentMethods: service.nonIdempotentMethods?.names,
        requireIdempotencyKey: service.requireIdempotencyKey,
        maximumBodyBytes: service.maximumBodyBytes,
        patience: service.patience.map(fromPatienceRule),
        coldStart: service.coldStart && {
            concurrency: service.coldStart.concurrency,
            answersToWarm: service.coldStart.answersToWarm,
            idleMs: service.coldStart.idleMs,
        },
        loadMeasuring: service.loadMeasuring && {
            probesPerSecond: service.loadMeasuring.probesPerSecond,
            seats: service.loadMeasuring.seats,
        },
        backendServers: service.backendServers.map(fromBackendServer),
    };
}

function fromPatienceRule(rule: PatienceRuleMessage): PatienceRuleInput {
    const weekdays = rule.weekdays.map(day => weekdayNames.get(day) ?? `unknown weekday ${String(day)}`);
    return {
        callerKind: rule.callerKind,
        weekdays: weekdays.length === 0 ? undefined : weekdays as unknown as PatienceRuleInput["weekdays"],
        from: rule.from,
        to: rule.to,
        patienceMs: rule.patienceMs,
    };
}

function fromBackendServer(server: BackendServerMessage): BackendServerInput {
    return {
        name: server.name,
        availabilityZone: server.availabilityZone,
        address: server.address,
        port: server.port,
        slots: server.slots,
        connections: server.connections,
    };
}
