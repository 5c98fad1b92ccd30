export * from "./heldBytes.js";
