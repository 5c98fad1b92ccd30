export * from "./declarationFile.js";
export * from "./parseDeclaration.js";
