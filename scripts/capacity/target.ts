/** The size that the system has to support in two years, from the users' requirements. */
export const target = Object.freeze({
    targets: 8_400,
    services: 450,
    callsPerSecond: 1_800_000,
    depth: 7,
    addedMs: 0.57,
    regions: 4,
    availabilityZones: 12,
    changesPerDay: 21_000,
    changeInForceS: 17,
    controlCorePercent: 1,
    controlMegabytes: 32,
    controlBytesPerSecond: 3_000,
    hostsFailingPerDay: 24,
    restartsPerDay: 730,
    storeWritesPerSecond: 300,
    storeReadsPerSecond: 2_000,
    storeValueBytes: 1_000_000,
});

/** Seconds per day. */
export const secondsPerDay = 86_400;
