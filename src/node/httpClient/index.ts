export * from "./framing.js";
export * from "./httpClient.js";
export * from "./outcome.js";
export * from "./responseMemoryLimit.js";
export * from "./types.js";
