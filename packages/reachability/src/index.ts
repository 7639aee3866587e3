/** Whether this host reaches the backend servers of each service, from the exchanges that it has with them. */
export { type Contact, type ContactEnd, type LossEvidence, type LossKind } from "./contact.js";
export { ContactEvidence } from "./contactEvidence.js";
