export * from "./backendServers.js";
export * from "./declaredVersions.js";
export * from "./demand.js";
export * from "./patience.js";
export * from "./placeShare.js";
export * from "./requestFingerprint.js";
export * from "./routeTable.js";
export * from "./weightNames.js";
