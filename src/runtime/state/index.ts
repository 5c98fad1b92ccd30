export { beginAfterTruncation, createChainKey, createFoldState } from "./createState.js";
export { foldEntry } from "./fold.js";
export { listDueRecords } from "./refresh.js";
export { exportSnapshot, importSnapshot } from "./snapshot.js";
export type * from "./types.js";
