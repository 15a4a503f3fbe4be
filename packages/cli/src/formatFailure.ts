import { formatFindings } from "@persimmonpitch/findings/finding.js";
import type { Finding } from "@persimmonpitch/findings/finding.js";
import { formatMessage } from "@persimmonpitch/findings/messageTable.js";
import type { MessageTable } from "@persimmonpitch/findings/messageTable.js";
import type { Problem } from "@persimmonpitch/schema/problem.js";
import type { CliFailure, CliFailureKind, FailedEntry } from "./cliFailure.js";

type MessageId = "conflict" | "unreachable" | "lostAnswer" | "invalidAnswer";

const messages: MessageTable<MessageId> = {
    conflict: "The configuration was not loaded: it was compared with version {readVersion}, but version "
        + "{currentVersion} is in force now. Run diff, then load again.",
    unreachable: "No entry could be reached, so the request was not run.",
    lostAnswer: "The request was sent, but no whole answer came back, so it is not known whether it ran.",
    invalidAnswer: "The answer cannot be used.",
};

/** What a failure means to the shell and to people. */
export interface FormattedFailure {
    readonly exitCode: 1 | 2;
    readonly text: string;
}

type FailureOf<K extends CliFailureKind> = Extract<CliFailure, { readonly kind: K; }>;

const formatEntry = ({ url, detail }: FailedEntry): string => `  ${url}: ${detail}`;

const formatProblem = ({ title, detail, status, code, ran, retryAfterMs, findings }: Problem): string => {
    // Optional fields that are absent and fields that are undefined are the same to a reader.
    const places = findings?.map(({ place, ...finding }): Finding => ({ ...finding, place: compact(place) })) ?? [];
    return [
        `${title}${detail === "" ? "" : `: ${detail}`}`,
        `  status ${status}, code ${code}, ran ${ran}${
            retryAfterMs === undefined ? "" : `, retry after ${retryAfterMs} ms`
        }`,
        ...places.length === 0 ? [] : [formatFindings(places)],
    ].join("\n");
};

type Defined<T> = { readonly [K in keyof T]?: Exclude<T[K], undefined>; };

const compact = <T extends object>(value: T): Defined<T> =>
    Object.fromEntries(Object.entries(value).filter(([, field]) => field !== undefined)) as Defined<T>;

const formatters: { readonly [K in CliFailureKind]: (failure: FailureOf<K>) => FormattedFailure; } = {
    usage: ({ findings }) => ({ exitCode: 2, text: formatFindings(findings) }),
    input: ({ findings }) => ({ exitCode: 1, text: formatFindings(findings) }),
    wrongAnswer: ({ findings }) => ({ exitCode: 1, text: formatFindings(findings) }),
    problem: ({ problem }) => ({ exitCode: 1, text: formatProblem(problem) }),
    conflict: ({ readVersion, currentVersion }) => ({
        exitCode: 1,
        text: formatMessage(messages.conflict, { readVersion, currentVersion }),
    }),
    unreachable: ({ entries }) => ({
        exitCode: 1,
        text: [formatMessage(messages.unreachable), ...entries.map(formatEntry), "  ran no"].join("\n"),
    }),
    lostAnswer: ({ entry }) => ({
        exitCode: 1,
        text: [formatMessage(messages.lostAnswer), formatEntry(entry), "  ran unknown"].join("\n"),
    }),
    invalidAnswer: ({ entry }) => ({
        exitCode: 1,
        text: [formatMessage(messages.invalidAnswer), formatEntry(entry)].join("\n"),
    }),
};

/** Writes a failure for people, with the exit code it leads to. */
export const formatFailure = (failure: CliFailure): FormattedFailure => {
    // The table maps each kind to the formatter of that kind, which the compiler cannot follow through the lookup.
    const format = formatters[failure.kind] as (failure: CliFailure) => FormattedFailure;
    return format(failure);
};
