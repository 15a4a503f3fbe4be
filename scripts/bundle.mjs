// Bundles each small binary into one file under dist/bin, for fast starts and low memory.
import { build } from "esbuild";
import { existsSync } from "node:fs";

const binaries = {
    "persimmonpitch-entry": "packages/entry/src/main.ts",
    "persimmonpitch-agent": "packages/agent/src/main.ts",
    "persimmonpitch-standins": "packages/standins/src/main.ts",
    persimmonpitch: "packages/cli/src/main.ts",
};

await build({
    entryPoints: Object.fromEntries(Object.entries(binaries).filter(([, source]) => existsSync(source))),
    outdir: "dist/bin",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    sourcemap: true,
    logLevel: "warning",
    banner: {
        js: "import { createRequire as nodeCreateRequire } from \"node:module\"; const require = nodeCreateRequire(import.meta.url);",
    },
});
