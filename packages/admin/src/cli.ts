#!/usr/bin/env node
/** The program `galenaglade-admin`. */
import { resolveAdminSettings, resolveStartup } from "@galenaglade/settings";
import { createAdminProcess } from "./adminProcess.js";

const startup = resolveStartup("galenaglade-admin", process.argv.slice(2), resolveAdminSettings);
if (startup.type === "exit") {
    (startup.code === 0 ? console.log : console.error)(startup.output);
    process.exit(startup.code);
}

const { settings } = startup;
const admin = createAdminProcess(settings);
let stopping = false;
for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => {
        if (stopping) {
            return;
        }
        stopping = true;
        admin.logger.info("planned stop begins", { signal });
        admin.stop().then(() => process.exit(0), (err: unknown) => {
            admin.logger.error("planned stop failed", { error: String(err) });
            process.exit(1);
        });
    });
}

try {
    const port = await admin.start();
    console.log(JSON.stringify({ ready: true, name: "admin", url: `http://${settings.address}:${port}` }));
}
catch (err) {
    admin.logger.error("the operators' server can't start", { error: String(err) });
    process.exit(1);
}
