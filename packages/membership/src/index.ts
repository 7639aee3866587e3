/** Which gateways there are, and whether this one's configuration is fresh enough to take new work. */
export { type Acceptance, ChangeCoordinator, type ChangeRequest, type GatewayStanding } from "./changeCoordinator.js";
export {
    type ConfigurationOffer,
    type GatewayIdentity,
    type Heartbeat,
    type OfferAnswer,
    type Roster,
} from "./messages.js";
