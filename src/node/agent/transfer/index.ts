export { createLinkBudget, createUnlimitedBudget, type LinkBudgetInput } from "./linkBudget.js";
export { createTransferService } from "./service.js";
export { resolveTransferSettings } from "./settings.js";
export type * from "./types.js";
