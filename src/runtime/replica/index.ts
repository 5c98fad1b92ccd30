export * from "./directReads.js";
export * from "./replica.js";
