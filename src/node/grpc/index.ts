export * from "./clients.js";
export * from "./server.js";
