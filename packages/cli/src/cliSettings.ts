import * as z from "zod";

/** The file that `--settings` names. */
export const cliSettingsSchema = z.strictObject({
    /** Entries in the order in which they are tried. */
    entries: z.array(z.url({ protocol: /^https?$/ })).min(1),
    /** The operator's or the team's token. */
    token: z.string().min(1).regex(/^[\x21-\x7e]+$/),
    connectTimeoutMs: z.number().int().positive().max(60_000).default(3_000),
    answerTimeoutMs: z.number().int().positive().max(600_000).default(30_000),
});
export type CliSettings = z.infer<typeof cliSettingsSchema>;
