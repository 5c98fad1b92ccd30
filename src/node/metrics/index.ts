export * from "./metrics.js";
