export * from "./follower.js";
export * from "./followerSet.js";
export * from "./logReader.js";
export * from "./relayServer.js";
export * from "./stateMetrics.js";
export * from "./stateStore.js";
