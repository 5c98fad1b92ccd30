export * from "./framing.js";
export * from "./httpClient.js";
export * from "./outcome.js";
export * from "./responseMemoryLimit.js";
export { isHttpStatus } from "./responseStatus.js";
export type { SilenceLimit } from "./silenceWatch.js";
export * from "./types.js";
