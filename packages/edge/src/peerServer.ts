import { type CallerMemory, enableDisconnects, enableLingeringClose } from "@galenaglade/http-parts";
import { createServer, type Server } from "node:http";
import { maxHandoverHeadBytes } from "./constants.js";
import { handoverPath } from "./handover/handoverMessages.js";
import { type HandoverServer } from "./handover/handoverServer.js";
import { reachabilityPath } from "./reach/reachabilityMessages.js";
import { handleReachabilityRequest, type ReachabilityProvider } from "./reach/reachabilityServer.js";
import { type EvidenceCollector, handleEvidenceReport } from "./rollout/evidenceServer.js";
import { evidencePath } from "./rollout/rolloutMessages.js";
import { type RelayServer } from "./state/relayServer.js";

/** Handlers of requests from other gateways. */
export interface PeerServerDeps {
    /** Relays changes of the store. */
    readonly relay: RelayServer;
    /** Receives reports on rollouts. */
    readonly inbox: EvidenceCollector;
    /** Reports whether this gateway reaches backend servers. */
    readonly reachability: ReachabilityProvider;
    /** Accepts requests that are handed over. */
    readonly handovers: HandoverServer;
    /** Account of the memory that callers make the process hold; handed-over requests are theirs too. */
    readonly memory: CallerMemory;
}

/**
 * Creates the HTTP server for requests from other gateways.
 *
 * @param deps - handlers of the requests
 * @returns a server that is not listening yet
 */
export function createPeerServer({ relay, inbox, reachability, handovers, memory }: PeerServerDeps): Server {
    const server = createServer({ maxHeaderSize: maxHandoverHeadBytes, noDelay: true }, (req, res) => {
        if (!memory.admit(req, res)) {
            return;
        }
        const path = req.url?.split("?")[0];
        if (path === handoverPath) {
            handovers.handle(req, res);
        }
        else if (path === reachabilityPath) {
            void handleReachabilityRequest(reachability, req, res);
        }
        else if (req.method === "POST" && req.url === evidencePath) {
            handleEvidenceReport(inbox, req, res);
        }
        else {
            relay.handle(req, res);
        }
    });
    enableLingeringClose(server);
    enableDisconnects(server);
    memory.watch(server);
    return server;
}
