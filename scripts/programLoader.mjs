// Runs the bundled program beside it with the code cache that the build wrote: compiling the bundle is a third of the
// processor time of a start, and a VM that comes back serves nobody until its process has started.
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Script } from "node:vm";

const self = fileURLToPath(import.meta.url);
const program = self.replace(/\.mjs$/, ".cjs");
const cacheFile = self.replace(/\.mjs$/, ".cache");

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
if (process.env.WRITE_CODE_CACHE === "1") {
    process.once("exit", () => {
        writeFileSync(cacheFile, script.createCachedData());
    });
}
const module = { exports: {} };
script.runInThisContext()(module.exports, createRequire(program), module, program, dirname(program));
