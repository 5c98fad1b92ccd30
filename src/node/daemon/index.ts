export * from "./drain.js";
export * from "./instanceListReader.js";
export * from "./platformReaders.js";
export * from "./relaySilence.js";
export * from "./runDaemon.js";
export * from "./settingsWatch.js";
export * from "./signals.js";
export * from "./startDisposableDaemon.js";
