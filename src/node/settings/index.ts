export { renderSettingsDocumentation } from "./documentation.js";
export * from "./problems.js";
export * from "./readSources.js";
export { getEnvironmentVariableName, settingsFileVariable, type SettingsSources } from "./resolveSections.js";
export * from "./settings.js";
