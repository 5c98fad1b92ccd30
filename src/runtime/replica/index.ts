export * from "./directReads.js";
export * from "./replica.js";
export * from "./restore.js";
