/** What gateways and admin say to each other, and the shells that take part in the fleet. */
export {
    type ChangeCoordinatorOptions,
    createChangeCoordinator,
    StoreChangeCoordinator,
} from "./changeCoordinatorShell.js";
export { Clock, createSystemClock } from "./clock.js";
export { createFleetMember } from "./fleetMemberShell.js";
export { type FleetMembership, type FleetMembershipOptions, type OnLoads, type OnSignals } from "./fleetMembership.js";
export {
    createFleetObserver,
    type FleetObservations,
    FleetObserver,
    type FleetObserverOptions,
} from "./fleetObserver.js";
export { PeerCaller, type PeerHandler, PeerListener } from "./peerCaller.js";
export { createPeerListener, type PeerServerOptions } from "./peerServer.js";
export { type ObserveServers, type ServerObservation, type ServerObservations } from "./serverObservation.js";
export { createPeerCaller, type PeerCallerOptions } from "./trpcPeerCaller.js";
