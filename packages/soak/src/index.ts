/** A randomized soak: real processes on one machine, faults from outside them, and checks of what the product promises. */
export { type CallerSign } from "./callerDraw.js";
export { runSoakCommand } from "./command.js";
export { type Fault, type FaultKind, type LinkFault } from "./faults.js";
export { planFaults } from "./plan.js";
export { runSoak, type SoakOptions, type SoakResult } from "./runSoak.js";
export { type ArrivedRequest, ServerNames, type ServerState } from "./serverNames.js";
export { SoakServer } from "./soakServer.js";
export {
    type AnswerMarks,
    type ServerOrder,
    type ServerTrouble,
    type SoakProgram,
    SoakSystem,
    soundServer,
    soundStore,
    type StoreOrder,
    type StoreTrouble,
    type StoreWrite,
    rewriteMs,
} from "./soakSystem.js";
