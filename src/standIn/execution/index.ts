export * from "./batch.js";
export * from "./headers.js";
export * from "./journal.js";
