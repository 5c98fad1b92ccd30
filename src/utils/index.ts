export * from "./clock.js";
export * from "./digest.js";
export * from "./table.js";
