import type { Finding } from "@persimmonpitch/findings/finding.js";
import { formatFindings } from "@persimmonpitch/findings/finding.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Result } from "true-myth/result";

/** Exit codes of all binaries. */
export const EXIT_CODES = { success: 0, failure: 1, usage: 2 } as const;

/** A running process that can be shut down. */
export interface RunningProcess {
    /** Receives a line when the process has started, when a signal stops it and when it has stopped. */
    readonly logger: Logger;
    /** Finishes what is in progress and ends. */
    shutdown(): Promise<void>;
    /** Called on SIGHUP, when the settings may have changed. */
    onSettingsChanged?(): void;
}

/**
 * Starts a daemon from its settings, and shuts it down on SIGTERM or SIGINT; wrong settings end with exit code 2.
 * SIGHUP, which ends a process by default, only tells it that the settings may have changed.
 */
export const runDaemon = async <T>(
    settings: Result<T, readonly Finding[]>,
    start: (settings: T) => Promise<RunningProcess>,
): Promise<void> => {
    if (settings.isErr) {
        process.stderr.write(`${formatFindings(settings.error)}\n`);
        process.exitCode = EXIT_CODES.usage;
        return;
    }
    // The signals are awaited before the start, so that one that comes during the start is not lost.
    const stopped = new Promise<NodeJS.Signals>(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
    let running: RunningProcess | undefined;
    process.on("SIGHUP", () => {
        running?.onSettingsChanged?.();
    });
    try {
        running = await start(settings.value);
        const { logger } = running;
        logger.log("info", "process.started");
        const signal = await stopped;
        logger.log("info", "process.stopping", { signal });
        await running.shutdown();
        logger.log("info", "process.stopped");
        process.exit(EXIT_CODES.success);
    }
    catch (err) {
        process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`);
        process.exit(EXIT_CODES.failure);
    }
};
