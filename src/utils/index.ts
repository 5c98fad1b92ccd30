export * from "./address.js";
export * from "./awaitPoll.js";
export * from "./clock.js";
export * from "./digest.js";
export * from "./disposal.js";
export * from "./parallel.js";
export * from "./sleep.js";
export * from "./table.js";
