export * from "./fencing.js";
export * from "./planOrders.js";
export type * from "./types.js";
