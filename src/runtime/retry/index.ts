export * from "./budget.js";
export * from "./crashEvidence.js";
export * from "./crashStanding.js";
export * from "./decision.js";
export * from "./hedge.js";
export * from "./options.js";
export * from "./promptParts.js";
export * from "./suspects.js";
export type * from "./types.js";
