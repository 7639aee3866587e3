#!/usr/bin/env node
/** The program `galenaglade-gateway`. */
import { resolveGatewaySettings, resolveStartup } from "@galenaglade/settings";
import { createGatewayProcess } from "./gatewayProcess.js";

const startup = resolveStartup("galenaglade-gateway", process.argv.slice(2), resolveGatewaySettings);
if (startup.type === "exit") {
    console.log(startup.output);
    process.exit(startup.code);
}

const { settings } = startup;
const gateway = createGatewayProcess(settings);
let stopping = false;
for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => {
        if (stopping) {
            return;
        }
        stopping = true;
        gateway.logger.info("planned stop begins", { signal });
        gateway.stop().then(() => process.exit(0), (err: unknown) => {
            gateway.logger.error("planned stop failed", { error: String(err) });
            process.exit(1);
        });
    });
}

const started = await gateway.start();
started.caseOf({
    Left: failure => {
        gateway.logger.error("the gateway can't start", { kind: failure.kind, detail: failure.detail });
        process.exit(1);
    },
    Right: ({ callersPort }) => {
        const url = `http://${settings.callers.address}:${callersPort}`;
        console.log(JSON.stringify({ ready: true, name: settings.name, url }));
    },
});
