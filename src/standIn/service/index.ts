export * from "./options.js";
export * from "./serviceStandIn.js";
