import { type Configuration, type PatienceRule, type Service, type Weekday } from "./model.js";

/** Caller kind that applies to callers which send no kind, or one that is not declared. */
export const defaultCallerKind = "default";

interface WallClock {
    readonly weekday: Weekday;
    /** Minutes since midnight. */
    readonly minute: number;
}

const formats = new Map<string, Intl.DateTimeFormat>();

/** Creating a format takes about 50 microseconds, so one is cached per time zone. */
function getFormat(timeZone: string): Intl.DateTimeFormat {
    let format = formats.get(timeZone);
    if (format === undefined) {
        format = new Intl.DateTimeFormat("en-GB", {
            timeZone,
            weekday: "short",
            hour: "2-digit",
            minute: "2-digit",
            hourCycle: "h23",
        });
        formats.set(timeZone, format);
    }
    return format;
}

/** UTC offsets are whole minutes, so one lookup is reused for all requests within a minute. */
const minuteMs = 60_000;

interface CachedWallClock {
    readonly epochMinute: number;
    readonly at: WallClock;
}

const cachedWallClocks = new Map<string, CachedWallClock>();

function resolveWallClock(timeZone: string, epochMs: number): WallClock {
    const epochMinute = Math.floor(epochMs / minuteMs);
    const cached = cachedWallClocks.get(timeZone);
    if (cached?.epochMinute === epochMinute) {
        return cached.at;
    }
    const at = computeWallClock(timeZone, epochMs);
    cachedWallClocks.set(timeZone, { epochMinute, at });
    return at;
}

function computeWallClock(timeZone: string, epochMs: number): WallClock {
    let weekday: Weekday = "mon";
    let hour = 0;
    let minute = 0;
    for (const part of getFormat(timeZone).formatToParts(epochMs)) {
        if (part.type === "weekday") {
            weekday = part.value.toLowerCase().slice(0, 3) as Weekday;
        }
        else if (part.type === "hour") {
            hour = Number(part.value);
        }
        else if (part.type === "minute") {
            minute = Number(part.value);
        }
    }
    return { weekday, minute: hour * 60 + minute };
}

function toMinutes(timeOfDay: string): number {
    const [hours = "0", minutes = "0"] = timeOfDay.split(":");
    return Number(hours) * 60 + Number(minutes);
}

/** A rule whose end is not after its start extends past midnight and belongs to the weekday on which it starts. */
function appliesAt(rule: PatienceRule, at: WallClock, yesterday: Weekday): boolean {
    const from = toMinutes(rule.from);
    const to = toMinutes(rule.to);
    if (from < to) {
        return rule.weekdays.includes(at.weekday) && at.minute >= from && at.minute < to;
    }
    const startedToday = rule.weekdays.includes(at.weekday) && at.minute >= from;
    const startedYesterday = rule.weekdays.includes(yesterday) && at.minute < to;
    return startedToday || startedYesterday;
}

const dayBefore: Readonly<Record<Weekday, Weekday>> = {
    mon: "sun",
    tue: "mon",
    wed: "tue",
    thu: "wed",
    fri: "thu",
    sat: "fri",
    sun: "sat",
};

/**
 * Finds how long a caller waits for a response. The first rule that covers the given time applies. A caller kind
 * without such a rule falls back to `default`. If no rule covers the time, the shortest declared patience applies: a
 * value that is too short leads to an explicit refusal, one that is too long to a response that nobody waits for.
 *
 * @param cfg - the configuration, for its time zone
 * @param service - the requested service
 * @param callerKind - value of the caller kind header
 * @param epochMs - time of arrival in Unix milliseconds
 * @returns the patience in milliseconds
 */
export function resolvePatience(cfg: Configuration, service: Service, callerKind: string, epochMs: number): number {
    const at = resolveWallClock(cfg.timeZone, epochMs);
    const yesterday = dayBefore[at.weekday];
    for (const kind of [callerKind, defaultCallerKind]) {
        for (const rule of service.patience) {
            if (rule.callerKind === kind && appliesAt(rule, at, yesterday)) {
                return rule.patienceMs;
            }
        }
    }
    return Math.min(...service.patience.map(rule => rule.patienceMs));
}
