import { HttpTable } from "@persimmonpitch/backing/httpTable.js";
import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { createLogger } from "@persimmonpitch/logging/logger.js";
import { deriveProcessKey } from "@persimmonpitch/protocol/processKey.js";
import { connectTls, listenTls } from "@persimmonpitch/protocol/tlsTransport.js";
import { readSettings } from "@persimmonpitch/settings/readSettings.js";
import type { RunningProcess } from "@persimmonpitch/settings/runBinary.js";
import { EXIT_CODES, runDaemon } from "@persimmonpitch/settings/runBinary.js";
import meow from "meow";
import { Entry } from "./entry.js";
import type { EntrySettings } from "./entrySettings.js";
import { entrySettingsSchema } from "./entrySettings.js";

const TABLE_TIMEOUT_MS = 2_000;

const start = async (settings: EntrySettings): Promise<RunningProcess> => {
    const logger = createLogger(settings.logLevel).with({ entry: settings.id });
    const deploymentKey = Buffer.from(settings.deploymentKey, "hex");
    const processKey = deriveProcessKey(deploymentKey, settings.id);
    const table = new HttpTable({ baseUrl: settings.tableUrl, clock: systemClock, timeoutMs: TABLE_TIMEOUT_MS });
    const entry = new Entry({
        settings,
        clock: systemClock,
        logger,
        table,
        openPeerLink: address => connectTls(address, settings.id, processKey),
    });
    const innerServer = await listenTls(settings.inner, deploymentKey, ({ link, peerName }) => {
        entry.serveConnection(link, peerName);
    });
    const url = await entry.http.listen(settings.http);
    logger.log("info", "entry.started", { http: url, innerPort: innerServer.port });
    const running = entry.run();
    return {
        logger,
        shutdown: async () => {
            innerServer.server.close();
            await entry.shutdown();
            await running;
            await table.close();
        },
    };
};

const cli = meow(
    `
    Usage
      $ persimmonpitch-entry --settings FILE

    Serves callers, operators and agents, and schedules when it holds the scheduling role.

    Options
      --settings FILE  settings in TOML (required)
      --help           prints this text
      --version        prints the version

    Exit codes
      0  shut down after SIGTERM or SIGINT
      1  failed while running, for example because a port is in use
      2  wrong usage or settings
`,
    { importMeta: import.meta, flags: { settings: { type: "string" } } },
);

if (cli.flags.settings === undefined) {
    process.stderr.write(cli.help);
    process.exitCode = EXIT_CODES.usage;
}
else {
    await runDaemon(readSettings(cli.flags.settings, entrySettingsSchema), start);
}
