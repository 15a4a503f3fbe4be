import type { Logger } from "./logger.js";
import { createLogger } from "./logger.js";

/** Creates the logger of a daemon. It writes to standard output, which the platform collects. */
export const createProcessLogger = (): Logger =>
    createLogger("info", line => {
        process.stdout.write(line);
    });
