// Bundles the programs of deploy/system.toml into target/, straight from the sources.
import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const root = new URL("..", import.meta.url);

/** Resolves the workspace's own packages to their sources, so that no compiled output is needed. */
const workspaceSources = {
    name: "workspace-sources",
    setup: ({ onResolve }) => {
        onResolve({ filter: /^@persimmonpitch\/[^/]+\/[^/]+\.js$/ }, ({ path }) => {
            const [, name, unit] = path.split("/");
            const file = `packages/${name}/src/${unit.replace(/\.js$/, ".ts")}`;
            return { path: fileURLToPath(new URL(file, root)) };
        });
    },
};

await build({
    absWorkingDir: fileURLToPath(root),
    entryPoints: {
        entry: "platform/src/entryMain.ts",
        agent: "platform/src/agentMain.ts",
        export: "platform/src/exportMain.ts",
    },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: true,
    logLevel: "warning",
    plugins: [workspaceSources],
    banner: {
        js: "import { createRequire as nodeCreateRequire } from \"node:module\"; const require = nodeCreateRequire(import.meta.url);",
    },
});
