export * from "./chooseTarget.js";
export * from "./planLoad.js";
