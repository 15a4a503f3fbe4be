#!/usr/bin/env node
import type { CliFunctions } from "./command.js";
import { runCli } from "./runCli.js";

const VERSION = "0.1.0";

/** Functions of packages above or beside this one. */
const functions: CliFunctions = {};

const controller = new AbortController();
// Requests in progress end with an error that says what is known about them.
const abort = () => {
    controller.abort();
};
process.once("SIGTERM", abort);
process.once("SIGINT", abort);

process.exitCode = await runCli(process.argv.slice(2), {
    version: VERSION,
    functions,
    signal: controller.signal,
    writeOutput: text => process.stdout.write(text),
    writeError: text => process.stderr.write(text),
});
