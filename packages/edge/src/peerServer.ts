import { createServer, type Server } from "node:http";
import { maxHandoverHeadBytes } from "./constants.js";
import { handoverPath } from "./handover/handoverMessages.js";
import { type HandoverServer } from "./handover/handoverServer.js";
import { reachabilityPath } from "./reach/reachabilityMessages.js";
import { handleReachabilityRequest, type ReachabilityProvider } from "./reach/reachabilityServer.js";
import { type EvidenceCollector, handleEvidenceReport } from "./rollout/evidenceServer.js";
import { evidencePath } from "./rollout/rolloutMessages.js";
import { type RelayServer } from "./state/relayServer.js";

/** What answers other gateways. */
export interface PeerServerDeps {
    /** Answers questions for changes of the store. */
    readonly relay: RelayServer;
    /** Takes reports on roll-outs. */
    readonly inbox: EvidenceCollector;
    /** Says whether servers are reached. */
    readonly reachability: ReachabilityProvider;
    /** Takes requests. */
    readonly handovers: HandoverServer;
}

/**
 * Makes the server that other gateways call.
 *
 * @param parts - what answers them
 * @returns a server that doesn't listen yet
 */
export function createPeerServer({ relay, inbox, reachability, handovers }: PeerServerDeps): Server {
    return createServer({ maxHeaderSize: maxHandoverHeadBytes, noDelay: true }, (req, res) => {
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
}
