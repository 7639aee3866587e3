/** Answers within this time make a probe needless, in milliseconds. */
export const silentAfterMs = 500;

/** Most probes that one gateway sends in a second, over all servers; more targets are watched in turn. */
export const probesPerGatewayPerSecond = 200;

/** Mean pause between two tries of a gateway without a seat to get one. */
export const seatRetryMs = 2_000;

/** Keys of the store that hold the seats begin with this. */
export const seatPrefix = "probing/";
