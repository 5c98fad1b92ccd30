export * from "./backendServerClient.js";
export * from "./brokenBody.js";
export { type KeyedBackendRequest } from "./execute.js";
export * from "./types.js";
