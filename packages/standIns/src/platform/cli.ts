import { parseArgs } from "node:util";
import { parseListenAddress } from "../http/jsonServer.js";
import { printReady, stopOnSignal } from "../processes/ready.js";
import { defaultCallLimits } from "./callRateLimiter.js";
import { PlatformServer } from "./platformServer.js";

const { values } = parseArgs({
    options: {
        listen: { type: "string", default: "127.0.0.1:0" },
        "host-list-lag-ms": { type: "string", default: "2000" },
        "writes-per-second": { type: "string", default: String(defaultCallLimits.writesPerSecond) },
        "reads-per-second": { type: "string", default: String(defaultCallLimits.readsPerSecond) },
    },
});

const platform = await PlatformServer.start({
    listen: parseListenAddress(values.listen),
    hostListLagMs: Number(values["host-list-lag-ms"]),
    limits: {
        writesPerSecond: Number(values["writes-per-second"]),
        readsPerSecond: Number(values["reads-per-second"]),
    },
});
stopOnSignal(() => platform.stop());
printReady("platform", platform.url);
