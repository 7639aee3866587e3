/** Histogram bucket boundaries in seconds: fine for interactive services, coarse for extracts that run overnight. */
export const durationBucketsSeconds: readonly number[] = [
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    10,
    60,
    600,
    3_600,
];
