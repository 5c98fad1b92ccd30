export * from "./types.js";
