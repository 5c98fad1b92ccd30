export * from "./heldMemory.js";
