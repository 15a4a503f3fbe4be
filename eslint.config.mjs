import { defineConfig } from "eslint/config";
import tseslint from "typescript-eslint";

export default defineConfig(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**", "journal/**", ".tap/**", "tap-snapshots/**"] },
    tseslint.configs.strictTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            curly: "error",
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "no-restricted-properties": ["error", {
                object: "AbortSignal",
                property: "any",
                message: "It can lose a timeout to garbage collection. Use withAnySignal or withTimeoutSignal.",
            }],
        },
    },
    // Scripts stand outside the TypeScript projects, so the rules that need types do not apply to them.
    {
        files: ["**/*.mjs", "**/*.cjs"],
        extends: [tseslint.configs.disableTypeChecked],
        languageOptions: { parserOptions: { projectService: false } },
    },
    {
        files: ["**/*.cjs"],
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
);
