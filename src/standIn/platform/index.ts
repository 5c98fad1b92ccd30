export { type InstanceRegistration, type InstanceStore, type PlatformInstanceState } from "./instanceStore.js";
export { type LogStore } from "./logStore.js";
export * from "./platformStandIn.js";
export { type GeneratedSizes, type WeightCatalogue } from "./weightRoutes.js";
export { type GeneratedWeightSet, generateWeightSet, type WeightSetDeclaration } from "./weightSets.js";
