import type { Finding } from "@persimmonpitch/findings/finding.js";
import { findingOf } from "@persimmonpitch/findings/finding.js";
import { parse, TomlError } from "smol-toml";
import { err, isErr, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type * as z from "zod";
import type { LineOf } from "./keyLines.js";
import { keyLines } from "./keyLines.js";
import { formatKeyPath } from "./keyPath.js";
import type { KeyPath } from "./keyPath.js";
import { settingsMessages } from "./settingsMessages.js";

type Issue = z.core.$ZodIssue;

/** A checked document, with the lines of its keys for findings of later checks. */
export interface ParsedToml<T> {
    readonly value: T;
    readonly lineOf: LineOf;
}

const withoutPeriod = (message: string): string => message.replace(/\.$/, "");

const syntaxFinding = (error: unknown, file: string): Finding => {
    if (!(error instanceof TomlError)) {
        return findingOf(settingsMessages, "syntax", { file }, { detail: withoutPeriod(String(error)) });
    }
    // The first line of the message is the sentence; an excerpt of the text follows it.
    const detail = error.message.split("\n")[0]?.replace("Invalid TOML document: ", "") ?? "";
    return findingOf(settingsMessages, "syntax", { file, line: error.line, column: error.column }, {
        detail: withoutPeriod(detail),
    });
};

const parseText = (text: string, file: string): Result<unknown, readonly Finding[]> => {
    try {
        return ok(parse(text, { unsafeKeyBehaviour: "throw" }));
    }
    catch (error) {
        return err([syntaxFinding(error, file)]);
    }
};

const keyPathOf = (issue: Issue): KeyPath => issue.path.map(part => typeof part === "symbol" ? part.toString() : part);

const findingsOfIssue = (issue: Issue, file: string, lineOf: LineOf): readonly Finding[] => {
    const placeOf = (path: KeyPath) => {
        const line = lineOf(path);
        const position = line === undefined ? { file } : { file, line };
        return path.length === 0 ? position : { ...position, path: formatKeyPath(path) };
    };
    const path = keyPathOf(issue);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => findingOf(settingsMessages, "unknownKey", placeOf([...path, key]), { key }));
    }
    const messageId = issue.message.endsWith("received undefined") ? "missingKey" : "invalidValue";
    const detail = withoutPeriod(issue.message.replace("Invalid input: ", ""));
    return [findingOf(settingsMessages, messageId, placeOf(path), { detail })];
};

/** Writes the faults that a schema has found in a document as findings with their places. */
export const findingsOfError = (error: z.ZodError, file: string, lineOf: LineOf): readonly Finding[] =>
    error.issues.flatMap(issue => findingsOfIssue(issue, file, lineOf));

/** Parses a TOML text, checks it against a schema, and keeps the lines of its keys. */
export const parseTomlWithLines = <S extends z.ZodType>(
    text: string,
    file: string,
    schema: S,
): Result<ParsedToml<z.infer<S>>, readonly Finding[]> => {
    const document = parseText(text, file);
    if (isErr(document)) {
        return err(document.error);
    }
    const lineOf = keyLines(text);
    const checked = schema.safeParse(document.value);
    return checked.success
        ? ok({ value: checked.data, lineOf })
        : err(findingsOfError(checked.error, file, lineOf));
};

/** Parses a TOML text and checks it against a schema; all findings are reported together. */
export const parseToml = <S extends z.ZodType>(
    text: string,
    file: string,
    schema: S,
): Result<z.infer<S>, readonly Finding[]> => parseTomlWithLines(text, file, schema).map(({ value }) => value);
