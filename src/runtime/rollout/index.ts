export * from "./loadedWeights.js";
export * from "./planLoad.js";
export * from "./selectTarget.js";
