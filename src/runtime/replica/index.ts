export * from "./directReads.js";
export * from "./relayChoice.js";
export * from "./replica.js";
export * from "./restore.js";
