/** Whether this host reaches the backend servers of each service, and which other gateways do where it doesn't. */
export { type Contact, type ContactEnd, type LossEvidence, type LossKind } from "./contact.js";
export { ContactEvidence } from "./contactEvidence.js";
export { HelperBoard, type HelperBoardParts } from "./helperBoard.js";
export { type ReachChange, ServiceReach, type ReachState } from "./serviceReach.js";
