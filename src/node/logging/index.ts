export * from "./boundedDestination.js";
export * from "./decisionLog.js";
export * from "./decisionRoute.js";
export * from "./events.js";
export * from "./logger.js";
