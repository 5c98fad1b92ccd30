export * from "./membership.js";
export * from "./runDaemon.js";
export * from "./signals.js";
