import { err } from "true-myth/result";
import type * as z from "zod";
import type { Command, CommandOutput } from "./command.js";

/** What differs between commands that read one answer and print it. */
export interface ReadingOptions<S extends z.ZodType> {
    readonly summary: string;
    readonly args: readonly string[];
    readonly pathOf: (args: readonly string[]) => string;
    readonly schema: S;
    readonly format: (value: z.infer<S>) => string;
    readonly exitCodeOf?: (value: z.infer<S>) => 0 | 1;
}

/** A command that reads one answer and prints it. */
export const readingCommand = <S extends z.ZodType>(options: ReadingOptions<S>): Command => ({
    summary: options.summary,
    args: options.args,
    flags: [],
    run: async ({ args, connect }) => {
        const api = connect();
        if (api.isErr) {
            return err(api.error);
        }
        const answer = await api.value.call(
            { method: "GET", path: options.pathOf(args), isRepeatable: true },
            options.schema,
        );
        return answer.map(({ value }): CommandOutput => ({
            text: options.format(value),
            json: value,
            exitCode: options.exitCodeOf?.(value) ?? 0,
        }));
    },
});
