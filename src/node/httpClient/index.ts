export * from "./framing.js";
export * from "./heldBytes.js";
export * from "./httpClient.js";
export * from "./outcome.js";
export * from "./types.js";
