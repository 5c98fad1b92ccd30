import tsdoc from "eslint-plugin-tsdoc";
import typescriptEslint from "typescript-eslint";

export default typescriptEslint.config(
    {
        ignores: [
            "dist/**",
            "target/**",
            "node_modules/**",
            "src/generated/**",
            "eslint.config.js",
            "platform/undiciParts.cjs",
            "platform/protoLoader.cjs",
        ],
    },
    ...typescriptEslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { tsdoc },
        rules: {
            curly: "error",
            eqeqeq: "error",
            "no-var": "error",
            "prefer-const": "error",
            "tsdoc/syntax": "error",
            "max-lines": ["error", { max: 350 }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: ["function", "parameter"], format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a string union." },
                { selector: "Literal[raw='null']", message: "Use undefined." },
            ],
        },
    },
    {
        files: ["test/**/*.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off" },
    },
    {
        files: ["src/runtime/**/*.ts", "src/utils/digest.ts"],
        rules: {
            "no-restricted-globals": ["error", "setTimeout", "setInterval", "performance"],
            "no-restricted-properties": [
                "error",
                { object: "Date", property: "now", message: "Take the time from the Clock that is passed in." },
                {
                    object: "Math",
                    property: "random",
                    message: "Take randomness from the RandomSource that is passed in.",
                },
            ],
        },
    },
);
