import { findingsOfError, parseTomlWithLines } from "@persimmonpitch/settings/parseToml.js";
import { readText } from "@persimmonpitch/settings/readSettings.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type * as z from "zod";
import type { CliFailure } from "./cliFailure.js";

/** Reads a TOML file whose fields may be completed by options, and checks the whole. */
export const readInput = <S extends z.ZodType>(
    file: string,
    partialSchema: z.ZodType<object>,
    schema: S,
    additions: Readonly<Record<string, unknown>>,
): Result<z.infer<S>, CliFailure> => {
    const read = readText(file).andThen(text => parseTomlWithLines(text, file, partialSchema));
    if (read.isErr) {
        return err({ kind: "input", findings: read.error });
    }
    const { value, lineOf } = read.value;
    const whole = schema.safeParse({ ...value, ...additions });
    return whole.success
        ? ok(whole.data)
        : err({ kind: "input", findings: findingsOfError(whole.error, file, lineOf) });
};

/** Reads the file that an option names, as the value of one field. */
export const readField = (
    name: string,
    file: string | undefined,
): Result<Readonly<Record<string, string>>, CliFailure> =>
    file === undefined
        ? ok({})
        : readText(file).map(text => ({ [name]: text })).mapErr(findings => ({ kind: "input" as const, findings }));
