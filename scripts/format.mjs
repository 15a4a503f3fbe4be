// Checks the formatting of all sources, or corrects it with --fix.
// dprint runs as a library: its command-line package has optional dependencies that not every registry mirror serves.
import { createContext } from "@dprint/formatter";
import * as typescript from "@dprint/typescript";
import { readFileSync, writeFileSync } from "node:fs";
import { glob } from "tinyglobby";

const { includes, excludes, typescript: options, ...globalOptions } = JSON.parse(readFileSync("dprint.json", "utf8"));
const isFix = process.argv.includes("--fix");
const context = createContext(globalOptions);
context.addPlugin(readFileSync(typescript.getPath()), options);

const files = await glob(includes, { ignore: excludes });
const unformatted = files.sort().filter(filePath => {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = context.formatText({ filePath, fileText });
    if (formatted === fileText) {
        return false;
    }
    if (isFix) {
        writeFileSync(filePath, formatted);
    }
    return true;
});
for (const file of unformatted) {
    console.log(`${isFix ? "formatted" : "not formatted"}: ${file}`);
}
console.log(`${files.length} files checked, ${unformatted.length} ${isFix ? "changed" : "not formatted"}`);
process.exitCode = unformatted.length > 0 && !isFix ? 1 : 0;
