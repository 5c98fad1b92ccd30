export * from "./admission.js";
export { listQueuedPools } from "./capacityPools.js";
export * from "./options.js";
export type * from "./types.js";
