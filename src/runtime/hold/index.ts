export { evaluateHold } from "./evaluateHold.js";
export { evaluateReplacement } from "./evaluateReplacement.js";
export type * from "./types.js";
