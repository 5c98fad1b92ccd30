export * from "./connectionState.js";
export * from "./drainableServer.js";
export * from "./endToEndHeaders.js";
export * from "./httpServer.js";
export * from "./joinHeaders.js";
export * from "./responses.js";
export * from "./statusRoutes.js";
