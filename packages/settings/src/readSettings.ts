import type { Finding } from "@persimmonpitch/findings/finding.js";
import { findingOf } from "@persimmonpitch/findings/finding.js";
import { readFileSync } from "node:fs";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type * as z from "zod";
import { parseToml } from "./parseToml.js";
import { settingsMessages } from "./settingsMessages.js";

/** Reads a text file; a file that cannot be read is a finding like any other. */
export const readText = (file: string): Result<string, readonly Finding[]> => {
    try {
        return ok(readFileSync(file, "utf8"));
    }
    catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        return err([findingOf(settingsMessages, "unreadable", { file }, { detail })]);
    }
};

/** Reads a TOML file and checks it against a schema; all findings are reported together. */
export const readSettings = <S extends z.ZodType>(file: string, schema: S): Result<z.infer<S>, readonly Finding[]> =>
    readText(file).andThen(text => parseToml(text, file, schema));
