export * from "./cluster.js";
export * from "./operator.js";
export * from "./programProcess.js";
export * from "./requests.js";
