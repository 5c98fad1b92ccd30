export * from "./backendServerClient.js";
export * from "./bodyError.js";
export { type KeyedBackendRequest } from "./execute.js";
export * from "./types.js";
