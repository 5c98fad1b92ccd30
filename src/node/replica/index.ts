export * from "./instanceRecords.js";
export * from "./logFollower.js";
export * from "./readableRecords.js";
export * from "./recordRelay.js";
export * from "./recordStore.js";
export * from "./registration.js";
export * from "./relayFollower.js";
export * from "./stallMonitor.js";
