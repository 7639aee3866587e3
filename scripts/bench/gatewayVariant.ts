/** Runs a gateway with the routing policy given on the command line. */
import { createGatewayProcess } from "@galenaglade/gateway";
import { loadSettings, resolveGatewaySettings } from "@galenaglade/settings";
import { printReady, stopOnSignal } from "@galenaglade/stand-ins";
import { parseArgs } from "node:util";

const { values } = parseArgs({ options: { settings: { type: "string" }, policy: { type: "string" } } });
const settings = loadSettings(values.settings ?? "", resolveGatewaySettings)
    .mapLeft(faults => new Error(faults))
    .unsafeCoerce();
const gateway = createGatewayProcess(settings, values.policy);
stopOnSignal(() => gateway.stop());
printReady(gateway.name, await gateway.start());
