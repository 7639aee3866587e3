/** How often the gate's store commands are run and queued requests are offered to servers that now accept requests. */
export const gateCheckPeriodMs = 100;

/** How often heartbeats are exchanged with peers. Several rounds fit into the time for which peer contact counts. */
export const gateHeartbeatPeriodMs = 500;
