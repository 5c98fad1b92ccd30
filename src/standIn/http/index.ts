export * from "./freePorts.js";
export * from "./responses.js";
export * from "./restart.js";
export * from "./server.js";
export * from "./types.js";
export * from "./wait.js";
