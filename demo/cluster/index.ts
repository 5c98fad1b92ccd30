export * from "./cluster.js";
export * from "./executions.js";
export * from "./load.js";
export * from "./operator.js";
export * from "./presets.js";
export * from "./programProcess.js";
export * from "./requests.js";
