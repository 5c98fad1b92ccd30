export * from "./admission.js";
export * from "./options.js";
export type * from "./types.js";
