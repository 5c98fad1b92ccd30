export * from "./metrics.js";
export * from "./processMetrics.js";
