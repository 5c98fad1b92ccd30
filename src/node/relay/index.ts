export * from "./follower.js";
export * from "./followerSet.js";
export * from "./logReader.js";
export * from "./relayServer.js";
export * from "./stateFigures.js";
export * from "./stateStore.js";
