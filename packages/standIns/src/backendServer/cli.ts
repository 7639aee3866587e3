import { parseArgs } from "node:util";
import { parseListenAddress } from "../http/jsonServer.js";
import { printReady, stopOnSignal } from "../processes/ready.js";
import { FileHistoryRecorder } from "../recording/historyRecorder.js";
import { BackendServer } from "./backendServer.js";

const { values } = parseArgs({
    options: {
        name: { type: "string", default: "server-1" },
        zone: { type: "string", default: "zone-a" },
        listen: { type: "string", default: "127.0.0.1:0" },
        slots: { type: "string", default: "3" },
        connections: { type: "string", default: "200" },
        seed: { type: "string", default: "1" },
        "work-median-ms": { type: "string", default: "20" },
        "work-sigma": { type: "string", default: "0.5" },
        "grace-ms": { type: "string", default: "0" },
        cold: { type: "boolean", default: false },
        history: { type: "string" },
    },
});

const server = await BackendServer.start({
    name: values.name,
    availabilityZone: values.zone,
    listen: parseListenAddress(values.listen),
    capacity: { slots: Number(values.slots) },
    maxConnections: Number(values.connections),
    startsCold: values.cold,
    seed: Number(values.seed),
    workTime: { medianMs: Number(values["work-median-ms"]), sigma: Number(values["work-sigma"]) },
    history: values.history === undefined ? undefined : new FileHistoryRecorder(values.history, values.name),
});
stopOnSignal(() => server.drain(Number(values["grace-ms"])));
printReady(values.name, server.url);
