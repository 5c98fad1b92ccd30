export * from "./instanceListClient.js";
export * from "./logClient.js";
export * from "./originClient.js";
