export * from "./bufferCollector.js";
export * from "./heldMemory.js";
