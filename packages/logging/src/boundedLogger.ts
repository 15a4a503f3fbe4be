import type { LogFields, Logger, LogLevel } from "./logger.js";

/** What a bounded logger works on. */
export interface BoundedLoggerOptions {
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    /** Most lines of one event in a period. */
    readonly maxLines?: number;
    readonly periodMs?: number;
}

const DEFAULT_MAX_LINES = 100;
const DEFAULT_PERIOD_MS = 1_000;

/** The lines of one event in its present period. */
interface Period {
    since: number;
    lines: number;
    omitted: number;
}

/**
 * Bounds the lines of each event, so that a burst of requests does not cost more in logs than in work. The first line
 * of the event in a later period says how many were omitted.
 */
export const boundedLogger = (
    logger: Logger,
    { now, maxLines = DEFAULT_MAX_LINES, periodMs = DEFAULT_PERIOD_MS }: BoundedLoggerOptions,
): Logger => {
    const periods = new Map<string, Period>();

    const periodOf = (event: string): Period => {
        const known = periods.get(event);
        if (known !== undefined && now() - known.since < periodMs) {
            return known;
        }
        if (known !== undefined && known.omitted > 0) {
            logger.log("warn", "log.omitted", { of: event, lines: known.omitted });
        }
        const period = { since: now(), lines: 0, omitted: 0 };
        periods.set(event, period);
        return period;
    };

    return {
        log: (level: LogLevel, event: string, fields?: LogFields) => {
            const period = periodOf(event);
            if (period.lines < maxLines) {
                period.lines += 1;
                logger.log(level, event, fields);
            }
            else {
                period.omitted += 1;
            }
        },
        with: fields => boundedLogger(logger.with(fields), { now, maxLines, periodMs }),
    };
};
