export * from "./bufferGarbage.js";
export * from "./heldBytes.js";
