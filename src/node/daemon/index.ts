export * from "./membership.js";
export * from "./signals.js";
