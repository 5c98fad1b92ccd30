export { explainBlocked, explainIneligible, findCandidates, findIneligibility } from "./candidates.js";
export * from "./explainSelection.js";
export * from "./load.js";
export * from "./options.js";
export { selectRunner } from "./selection.js";
export * from "./subset.js";
export type * from "./types.js";
