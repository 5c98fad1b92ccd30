export * from "./boundedDestination.js";
export * from "./decisionLog.js";
export * from "./decisionRoute.js";
export type { EventDefinition, EventGroup } from "./eventDefinition.js";
export * from "./events.js";
export * from "./logger.js";
