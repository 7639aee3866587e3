/** How often the gate's calls of the store are made, and waiting requests offered to servers that have opened. */
export const gateCheckPeriodMs = 100;

/** How often peers are asked for their word; several rounds fit into the time for which contact counts. */
export const gateHeartbeatPeriodMs = 500;
