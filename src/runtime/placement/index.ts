export { createInstanceTable, mergeInstanceList } from "./instanceList.js";
export { createProposerMemory, resolvePlacementOptions } from "./options.js";
export { rankProposer } from "./rank.js";
export { createRecordId } from "./recordId.js";
export { runProposer } from "./runProposer.js";
export type * from "./types.js";
