export * from "./keys.js";
export * from "./ledger.js";
export * from "./ownership.js";
export type * from "./types.js";
