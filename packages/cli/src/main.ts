#!/usr/bin/env node
import { verifyHistory } from "@persimmonpitch/history/verifyHistory.js";
import { checkGuarantees } from "@persimmonpitch/placement/checkGuarantees.js";
import type { CliFunctions } from "./command.js";
import { runCli } from "./runCli.js";

const VERSION = "0.1.0";

const functions: CliFunctions = { checkGuarantees, verifyHistory };

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
