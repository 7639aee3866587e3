import { resolveFleetTimings, storeKeys } from "@galenaglade/membership";
import { createChangeCoordinator, createFleetObserver } from "@galenaglade/peers";
import { HttpHostList, HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { type Program, type ResolvedAdminSettings } from "@galenaglade/settings";
import { createLogger } from "@galenaglade/telemetry";
import { AdminServer } from "./adminServer.js";
import { PeerServerObserver } from "./backendServerObserver.js";
import { StoreChangeSignal } from "./changeSignal.js";
import { OperatorCalls } from "./operatorCalls.js";
import { StandingFeed } from "./standingFeed.js";

/**
 * Creates the admin process from its settings.
 *
 * @param settings - validated settings
 * @returns the program, not started
 */
export function createAdminProcess(settings: ResolvedAdminSettings): Program {
    const logger = createLogger({ process: "admin", level: settings.logging.level });
    const connection = new PlatformClient({
        addresses: [settings.platform.address],
        client: "admin",
        timeoutMs: settings.platform.callTimeoutMs,
    });
    const store = new HttpKeyValueStore(connection);
    const fleet = {
        store,
        fleetKey: settings.fleetKey.reveal(),
        timings: resolveFleetTimings(settings.freshness.maximumAgeMs),
    };
    const calls = new OperatorCalls({
        coordinator: createChangeCoordinator(fleet),
        observer: new PeerServerObserver(createFleetObserver(fleet)),
        hosts: new HttpHostList(connection),
        acceptWaitMs: settings.acceptWaitMs,
    });
    const changes = new StoreChangeSignal(store, storeKeys.head);
    const server = new AdminServer({
        calls,
        feed: new StandingFeed(() => calls.getStanding(), changes, settings.maximumWatches),
        fleetKey: settings.fleetKey,
        maximumMessageBytes: settings.maximumMessageBytes,
        maximumConnections: settings.maximumConnections,
        drainMs: settings.stopping.drainMs,
        logger,
    });
    return {
        logger,
        name: "admin",
        start: async () => {
            const port = await server.listen(settings.address, settings.port);
            return `http://${settings.address}:${port}`;
        },
        stop: async () => {
            await server.stop();
            await connection.close();
        },
    };
}
