// Runs the bundled program beside it with the code cache that the build wrote: compiling the bundle is a third of the
// processor time of a start, and a VM that comes back serves nobody until its process has started.
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { dirname } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

// The runtime drops the code cache of its own modules, and ours, if its command line has V8 flags other than those with
// which they were written. So the command line has none, and these are set once the modules are loaded.
const RUNTIME_FLAGS = [
    // Optimizing the HTTP parser of undici, which is WebAssembly, takes 30 MB.
    "--liftoff-only",
    "--no-wasm-tier-up",
    "--no-wasm-dynamic-tiering",
];

const program = __filename.replace(/\.cjs$/, ".bundle.cjs");
const cacheFile = __filename.replace(/\.cjs$/, ".cache");

const readCache = () => {
    try {
        return readFileSync(cacheFile);
    }
    catch {
        // The build runs the program once without a cache to write it.
        return undefined;
    }
};

// The bundle is ASCII, and one byte for each character is all that has to be read and kept.
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(program, "latin1")}\n})`;
const script = new Script(source, { filename: program, cachedData: readCache() });
if (script.cachedDataRejected === true) {
    process.stderr.write(`level=warn event=codeCache.rejected file=${cacheFile}\n`);
}
const programModule = { exports: {} };
script.runInThisContext()(programModule.exports, require, programModule, program, dirname(program));
if (process.env.WRITE_CODE_CACHE === "1") {
    process.once("exit", () => {
        writeFileSync(cacheFile, script.createCachedData());
    });
}
else {
    // Listening loads this module; it has to come before the flags, as all others of the runtime.
    require("node:cluster");
    RUNTIME_FLAGS.forEach(setFlagsFromString);
}
