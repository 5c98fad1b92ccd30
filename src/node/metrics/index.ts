export * from "./metrics.js";
export * from "./processFigures.js";
