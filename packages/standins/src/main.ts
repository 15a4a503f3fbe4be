#!/usr/bin/env node
import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { formatFindings } from "@persimmonpitch/findings/finding.js";
import { readSettings } from "@persimmonpitch/settings/readSettings.js";
import { EXIT_CODES } from "@persimmonpitch/settings/runBinary.js";
import meow from "meow";
import { once } from "node:events";
import { closeStandins, startStandins } from "./standins.js";
import type { StandinsSettings } from "./standinsSettings.js";
import { standinsSettingsSchema } from "./standinsSettings.js";

const HELP = `
  Usage
    $ persimmonpitch-standins [--settings FILE]

  Starts stand-ins of the platform's table, object store, workers and executors on loopback,
  and prints one line with name and address for each.

  Options
    --settings FILE  TOML file with ports and numbers of workers and executors
    --version        Print the version
    --help           Print this text

  Exit codes
    0  shut down after SIGTERM or SIGINT
    1  failed, for example because a port is in use
    2  wrong usage or settings
`;

const serve = async (settings: StandinsSettings): Promise<void> => {
    // Signals are awaited from the start, so that one which follows the printed addresses at once is not missed.
    const terminated = Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
    const standins = await startStandins(systemClock, settings);
    standins.forEach(({ name, server }) => process.stdout.write(`${name} ${server.url}\n`));
    await terminated;
    await closeStandins(standins);
};

const main = async (): Promise<number> => {
    const cli = meow(HELP, {
        importMeta: import.meta,
        allowUnknownFlags: false,
        flags: { settings: { type: "string" } },
    });
    if (cli.input.length > 0) {
        process.stderr.write(`Unexpected argument: ${cli.input.join(" ")}.\n`);
        return EXIT_CODES.usage;
    }
    const file = cli.flags.settings;
    if (file === undefined) {
        await serve(standinsSettingsSchema.parse({}));
        return EXIT_CODES.success;
    }
    const settings = readSettings(file, standinsSettingsSchema);
    if (settings.isErr) {
        process.stderr.write(`${formatFindings(settings.error)}\n`);
        return EXIT_CODES.usage;
    }
    await serve(settings.value);
    return EXIT_CODES.success;
};

try {
    process.exitCode = await main();
}
catch (error) {
    process.stderr.write(`The stand-ins failed: ${error instanceof Error ? error.message : String(error)}.\n`);
    process.exitCode = EXIT_CODES.failure;
}
