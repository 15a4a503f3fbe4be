import { encode } from "@jclem/logfmt2";
import { pino } from "pino";

/** Values of a log event. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Levels in rising order of urgency. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Writes one line of key=value pairs for each event. */
export interface Logger {
    log(level: LogLevel, event: string, fields?: LogFields): void;
    /** A logger that adds the same fields to each event. */
    with(fields: LogFields): Logger;
}

type Line = Readonly<Record<string, unknown>> & {
    readonly level: number;
    readonly time: number;
    readonly msg: string;
};

const LEVEL_LABELS: Readonly<Record<number, LogLevel>> = { 20: "debug", 30: "info", 40: "warn", 50: "error" };

const toLogfmt = (json: string): string => {
    const { level, time, msg, ...fields } = JSON.parse(json) as Line;
    const label = LEVEL_LABELS[level] ?? "info";
    return `${encode({ time: new Date(time).toISOString(), level: label, event: msg, ...fields })}\n`;
};

const wrap = (sink: pino.Logger): Logger => ({
    log: (level, event, fields = {}) => {
        sink[level](fields, event);
    },
    with: fields => wrap(sink.child(fields)),
});

/** Makes a logger that writes logfmt lines, to standard error by default. */
export const createLogger = (
    level: LogLevel,
    write: (line: string) => void = line => process.stderr.write(line),
): Logger =>
    wrap(pino({ level, base: null }, {
        write: json => {
            write(toLogfmt(json));
        },
    }));

/** A logger that writes nothing. */
export const silentLogger: Logger = {
    log: () => undefined,
    with: () => silentLogger,
};
