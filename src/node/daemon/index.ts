export * from "./membership.js";
export * from "./relaySilence.js";
export * from "./signals.js";
