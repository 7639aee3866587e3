/** Recorded histories of concurrent runs, and the pure checkers that read them. */
export { type HistoryEvent, type HistoryLine, type Recorded, type Violation } from "./events.js";
