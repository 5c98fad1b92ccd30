export { type AgentDaemon, runAgent, startAgent } from "./agent/index.js";
export { createBackendServerClient } from "./backendServer/index.js";
export { type EntryDaemon, runEntry, startEntry, type StatusReport } from "./entry/index.js";
export { createDecisionLog, createLogger } from "./logging/index.js";
export { createInstanceListClient, createLogClient, createOriginClient } from "./platform/index.js";
export * from "./settings/index.js";
