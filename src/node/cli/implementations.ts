/** Modules that are imported dynamically when a command needs them, so that an agent loads only what it uses. */
export const implementations = {
    state: () => import("../../runtime/state/index.js"),
    distribution: () => import("../../runtime/distribution/index.js"),
    platform: () => import("../platform/index.js"),
    entry: () => import("../entry/index.js"),
    agent: () => import("../agent/index.js"),
    standIn: () => import("../../standIn/index.js"),
} as const;
