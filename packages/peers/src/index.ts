/** Calls between gateways and from the admin process, with the processes' parts in the fleet on top of them. */
export { Clock, createSystemClock } from "./clock.js";
export { type FleetMembership, type FleetMembershipOptions, type OnLoads, type OnSignals } from "./fleetMembership.js";
export {
    createFleetObserver,
    type FleetObservations,
    FleetObserver,
    type FleetObserverOptions,
} from "./fleetObserver.js";
export { createFleetMembership } from "./gatewayFleetMembership.js";
export { createPeerListener, type PeerListenerOptions } from "./httpPeerListener.js";
export { PeerCaller, type PeerHandler, PeerListener } from "./peerCaller.js";
export { type ObserveServers, type ServerObservation, type ServerObservations } from "./serverObservation.js";
export {
    type ChangeCoordinatorOptions,
    createChangeCoordinator,
    StoreChangeCoordinator,
} from "./storeChangeCoordinator.js";
export { createPeerCaller, type PeerCallerOptions } from "./trpcPeerCaller.js";
