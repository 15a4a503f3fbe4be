import { HttpExecutor } from "@persimmonpitch/backing/httpExecutor.js";
import { HttpWorker } from "@persimmonpitch/backing/httpWorker.js";
import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { createLogger } from "@persimmonpitch/logging/logger.js";
import { connectTls } from "@persimmonpitch/protocol/tlsTransport.js";
import { readSettings } from "@persimmonpitch/settings/readSettings.js";
import type { RunningProcess } from "@persimmonpitch/settings/runBinary.js";
import { EXIT_CODES, runDaemon } from "@persimmonpitch/settings/runBinary.js";
import meow from "meow";
import { Agent } from "./agent.js";
import type { AgentSettings } from "./agentSettings.js";
import { agentSettingsSchema } from "./agentSettings.js";

const ENDPOINT_TIMEOUT_MS = 5_000;

const startAgent = (settings: AgentSettings): Promise<RunningProcess> => {
    const logger = createLogger(settings.logLevel).with({ vm: settings.vmId });
    const processKey = Buffer.from(settings.processKey, "hex");
    const endpointOptions = { baseUrl: settings.endpointUrl, clock: systemClock, timeoutMs: ENDPOINT_TIMEOUT_MS };
    const agent = new Agent({
        settings,
        clock: systemClock,
        logger,
        worker: new HttpWorker(endpointOptions),
        executor: new HttpExecutor(endpointOptions),
        openLink: address => connectTls(address, settings.vmId, processKey),
    });
    logger.log("info", "agent.started", { kind: settings.kind, instance: agent.instanceId });
    const agentStopped = agent.run();
    return Promise.resolve({
        logger,
        shutdown: async () => {
            await agent.shutdown();
            await agentStopped;
        },
    });
};

const cli = meow(
    `
    Usage
      $ persimmonpitch-agent --settings FILE

    Registers its VM with the entries, and runs tasks or direct requests on the worker or executor of the VM.

    Options
      --settings FILE  settings in TOML (required)
      --help           prints this text
      --version        prints the version

    Exit codes
      0  shut down after SIGTERM or SIGINT, with all work finished
      1  failed while running
      2  wrong usage or settings
`,
    { importMeta: import.meta, flags: { settings: { type: "string" } } },
);

if (cli.flags.settings === undefined) {
    process.stderr.write(cli.help);
    process.exitCode = EXIT_CODES.usage;
}
else {
    await runDaemon(readSettings(cli.flags.settings, agentSettingsSchema), startAgent);
}
