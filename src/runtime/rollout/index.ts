export * from "./planLoad.js";
export * from "./selectTarget.js";
