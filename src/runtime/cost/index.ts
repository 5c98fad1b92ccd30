export * from "./expectedTimes.js";
export * from "./outputLength.js";
export * from "./requestCost.js";
export * from "./serverSpeed.js";
export * from "./serverWork.js";
