import type { Finding } from "@persimmonpitch/findings/finding.js";
import { formatFindings } from "@persimmonpitch/findings/finding.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { isDeepStrictEqual } from "node:util";
import type { Result } from "true-myth/result";

/** What becomes of a changed setting: it takes effect at once, or, for the reason given, at the next start. */
export type ChangeHandler<Settings> =
    | { readonly kind: "apply"; readonly apply: (settings: Settings) => void; }
    | { readonly kind: "nextStart"; readonly reason: string; };

/** A handler for each setting of a program. */
export type ChangeHandlers<Settings> = { readonly [K in keyof Settings]-?: ChangeHandler<Settings>; };

/** Handlers of settings that a process reads once. */
export const AT_START = {
    identity: { kind: "nextStart", reason: "The process is registered under it." },
    address: { kind: "nextStart", reason: "The process listens there." },
    connection: { kind: "nextStart", reason: "The process keeps connections to it." },
} as const;

const applyChange = <Settings extends object>(
    current: Settings,
    next: Settings,
    key: keyof Settings & string,
    handler: ChangeHandler<Settings>,
    logger: Logger,
): void => {
    if (isDeepStrictEqual(current[key], next[key])) {
        return;
    }
    if (handler.kind === "apply") {
        handler.apply(next);
        logger.log("info", "settings.applied", { key });
    }
    else {
        logger.log("warn", "settings.deferred", { key, effect: "nextStart", reason: handler.reason });
    }
};

/**
 * Applies changed settings to a running process and logs what becomes of each change. Malformed settings are logged and
 * change nothing. Returns the settings to compare with next time.
 */
export const reloadSettings = <Settings extends object>(
    current: Settings,
    read: Result<Settings, readonly Finding[]>,
    handlers: ChangeHandlers<Settings>,
    logger: Logger,
): Settings => {
    if (read.isErr) {
        logger.log("error", "settings.malformed", { detail: formatFindings(read.error) });
        return current;
    }
    for (const key of Object.keys(handlers) as (keyof Settings & string)[]) {
        applyChange(current, read.value, key, handlers[key], logger);
    }
    logger.log("info", "settings.read");
    return read.value;
};
