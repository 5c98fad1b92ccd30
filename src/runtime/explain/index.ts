export * from "./explainRequest.js";
export * from "./findCauses.js";
export * from "./parseLogLine.js";
export type * from "./types.js";
