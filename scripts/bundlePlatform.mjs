// Bundles the programs of deploy/system.toml into target/, straight from the sources.
import { build } from "esbuild";
import { copyFileSync, rmSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { playJob } from "./playJob.mjs";

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

const NO_SCHEMA_COMPILER =
    "module.exports = () => () => { throw new Error(\"Routes with schemas need a compiler.\"); };";

/** Modules in place of those of which a program uses a small part; they are the most of its memory and start-up time. */
const SMALL_MODULES = {
    // The rest of the library is fetch, WebSocket, caches and mocks; its main module adds the method as here.
    undici: `
        import request from "undici/lib/api/api-request.js";
        import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
        import Pool from "undici/lib/dispatcher/pool.js";
        Dispatcher.prototype.request = request;
        export { Pool };
    `,
    // Routes have no schemas: bodies are checked by zod, and JSON.stringify writes the answers.
    "@fastify/ajv-compiler": NO_SCHEMA_COMPILER,
    "@fastify/fast-json-stringify-compiler": NO_SCHEMA_COMPILER,
    // Requests that a test injects.
    "light-my-request": "module.exports = undefined;",
    // Versions of plugins, of which there are none.
    semver: "module.exports = {};",
    // Addresses behind a trusted proxy.
    "@fastify/proxy-addr": "module.exports = {};",
    // The runtime has a parser for query strings, too.
    "fast-querystring": "module.exports = require(\"node:querystring\");",
    // Routes given as regular expressions, of which there are none.
    "safe-regex2": "module.exports = () => true;",
    // A listing of all routes for people.
    "./lib/pretty-print": "module.exports = { prettyPrintTree: () => \"\" };",
    // Log lines with parts left out, which no logger here is asked for.
    "@pinojs/redact": "module.exports = () => { throw new Error(\"Log lines are not redacted.\"); };",
    // Destinations of log lines; the programs write them themselves.
    "sonic-boom": "module.exports = class {};",
    "thread-stream": "module.exports = class {};",
    // The HTTP/2 part of the HTTP client.
    "./client-h2.js": "module.exports = () => { throw new Error(\"HTTP/2 is not spoken.\"); };",
    // HTTP/2 and HTTPS are not spoken, and no worker thread is started.
    "node:http2": "module.exports = { constants: {} };",
    "node:https": "module.exports = {};",
    worker_threads: "module.exports = { isMainThread: true };",
    "node:worker_threads": "module.exports = { isMainThread: true };",
};

const smallModuleFilter = new RegExp(
    `^(${Object.keys(SMALL_MODULES).map(name => name.replaceAll(".", "\\.")).join("|")})$`,
);

const smallModules = {
    name: "small-modules",
    setup: ({ onLoad, onResolve }) => {
        onResolve({ filter: smallModuleFilter }, ({ path, resolveDir }) => ({
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

await build({ ...common, entryPoints: DAEMONS, format: "cjs", outExtension: { ".js": ".bundle.cjs" } });
await build({
    ...common,
    entryPoints: { export: "platform/src/exportMain.ts" },
    format: "esm",
    outExtension: { ".js": ".mjs" },
    banner: {
        js: "import { createRequire as nodeCreateRequire } from \"node:module\"; const require = nodeCreateRequire(import.meta.url);",
    },
});

for (const name of Object.keys(DAEMONS)) {
    rmSync(new URL(`target/${name}.cache`, root), { force: true });
    copyFileSync(new URL("programLoader.cjs", import.meta.url), new URL(`target/${name}.cjs`, root));
}
// The cache then holds the functions that the first job needs, too.
await playJob({ env: { WRITE_CODE_CACHE: "1" } });
