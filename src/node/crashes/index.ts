export * from "./checkListening.js";
export * from "./lossTracker.js";
