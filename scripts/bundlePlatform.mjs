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

/** Modules in place of those of which a program uses a small part; they are the most of its memory and start-up time. */
const SMALL_MODULES = {
    // The rest of the library is fetch, WebSocket, caches and mocks; its main module adds the methods as here.
    undici: `
        import api from "undici/lib/api/index.js";
        import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
        import Pool from "undici/lib/dispatcher/pool.js";
        Object.assign(Dispatcher.prototype, api);
        export { Pool };
    `,
    // Routes have no schemas: bodies are checked by zod, and JSON.stringify writes the answers.
    "@fastify/ajv-compiler":
        "module.exports = () => () => { throw new Error(\"Routes with schemas need a compiler.\"); };",
    "@fastify/fast-json-stringify-compiler":
        "module.exports = () => () => { throw new Error(\"Routes with schemas need a compiler.\"); };",
};

const smallModules = {
    name: "small-modules",
    setup: ({ onLoad, onResolve }) => {
        onResolve({ filter: /^(undici|@fastify\/(ajv|fast-json-stringify)-compiler)$/ }, ({ path, resolveDir }) => ({
            path,
            namespace: "small",
            pluginData: resolveDir,
        }));
        onLoad({ filter: /.*/, namespace: "small" }, ({ path, pluginData }) => ({
            contents: SMALL_MODULES[path],
            resolveDir: pluginData,
        }));
        // Messages of validation are not shown in other languages.
        onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
            contents: "export { default as en } from \"./en.js\";",
        }));
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
    plugins: [workspaceSources, smallModules],
    banner: {
        js: "import { createRequire as nodeCreateRequire } from \"node:module\"; const require = nodeCreateRequire(import.meta.url);",
    },
});
