export * from "./engineStandIn.js";
export * from "./options.js";
export * from "./tokens.js";
