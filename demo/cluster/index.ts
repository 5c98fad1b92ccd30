export * from "./cluster.js";
export * from "./load.js";
export * from "./operator.js";
export * from "./presets.js";
export * from "./programProcess.js";
export * from "./promises.js";
export * from "./requests.js";
