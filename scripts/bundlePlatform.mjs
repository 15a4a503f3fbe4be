// Bundles the programs of deploy/system.toml into target/, straight from the sources.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync, readFileSync, rmSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";

/** Exit code of a program whose settings are wrong. */
const USAGE = 2;

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

const common = {
    absWorkingDir: fileURLToPath(root),
    outdir: "target",
    bundle: true,
    platform: "node",
    target: "node20",
    minify: true,
    logLevel: "warning",
    plugins: [workspaceSources, smallModules],
};

const DAEMONS = { entry: "platform/src/entryMain.ts", agent: "platform/src/agentMain.ts" };

await build({ ...common, entryPoints: DAEMONS, format: "cjs", outExtension: { ".js": ".cjs" } });
await build({
    ...common,
    entryPoints: { export: "platform/src/exportMain.ts" },
    format: "esm",
    outExtension: { ".js": ".mjs" },
    banner: {
        js: "import { createRequire as nodeCreateRequire } from \"node:module\"; const require = nodeCreateRequire(import.meta.url);",
    },
});

/** The command of a role; a code cache counts only for the flags of the runtime with which it was written. */
const commandOf = role => {
    const deployment = parse(readFileSync(new URL("deploy/system.toml", root), "utf8"));
    return deployment.roles[role].run.split(" ").slice(1);
};

/** Runs the program up to its settings, which are missing, and so writes the code that a start compiles. */
const writeCodeCache = name => {
    const env = { ...process.env, WRITE_CODE_CACHE: "1", PERSIMMONPITCH_CONFIG: "" };
    const { status, stderr } = spawnSync(process.execPath, commandOf(name), { cwd: fileURLToPath(root), env });
    if (status !== USAGE) {
        throw new Error(`The code cache of ${name} was not written: ${String(stderr)}`);
    }
};

for (const name of Object.keys(DAEMONS)) {
    rmSync(new URL(`target/${name}.cache`, root), { force: true });
    copyFileSync(new URL("programLoader.mjs", import.meta.url), new URL(`target/${name}.mjs`, root));
    writeCodeCache(name);
}
