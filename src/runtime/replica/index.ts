export * from "./directReads.js";
export * from "./recordLimits.js";
export * from "./relayBudget.js";
export * from "./relayChoice.js";
export * from "./replica.js";
export * from "./restore.js";
