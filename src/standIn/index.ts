export * from "./engine/index.js";
export { type Journal, type JournalEntry } from "./execution/index.js";
export {
    type FaultControl,
    type FaultKind,
    type FaultRule,
    findFreePorts,
    type StandInServer,
    type StandInServerOptions,
} from "./http/index.js";
export * from "./platform/index.js";
export * from "./service/index.js";
