import * as z from "zod";

const wholeNumberSchema = z.string().regex(/^\d{1,15}$/, "expected a whole number").transform(Number);
const textSchema = z.string().min(1, "expected a value");

/** All options of the command line, after meow has split them. */
export const cliFlagsSchema = z.object({
    settings: textSchema.optional(),
    json: z.boolean().optional(),
    help: z.boolean().optional(),
    version: z.boolean().optional(),
    register: textSchema.optional(),
    output: textSchema.optional(),
    team: textSchema.optional(),
    own: z.boolean().optional(),
    key: textSchema.optional(),
    bodyFile: textSchema.optional(),
    ifVersion: wholeNumberSchema.optional(),
    timeoutMs: wholeNumberSchema.optional(),
});
export type CliFlags = z.infer<typeof cliFlagsSchema>;
export type FlagName = keyof CliFlags;

/** Options that every command takes. */
export const commonFlags: readonly FlagName[] = ["settings", "json", "help", "version"];

interface FlagHelp {
    readonly type: "string" | "boolean";
    readonly value: string;
    readonly help: string;
}

/** How each option is split and explained. */
export const flagHelp: { readonly [F in FlagName]-?: FlagHelp; } = {
    settings: { type: "string", value: "FILE", help: "settings in TOML: entries, token" },
    json: { type: "boolean", value: "", help: "JSON in place of text" },
    help: { type: "boolean", value: "", help: "shows this text" },
    version: { type: "boolean", value: "", help: "shows the version" },
    register: { type: "string", value: "FILE", help: "check, diff, load: adds the VMs of an asset register (CSV)" },
    output: { type: "string", value: "FILE", help: "export: the file to write" },
    team: { type: "string", value: "TEAM", help: "export: the history of this team, with an operator's token" },
    own: { type: "boolean", value: "", help: "cancel: a job of the own team, with the team's token" },
    key: { type: "string", value: "KEY", help: "submit, request: the request key" },
    bodyFile: { type: "string", value: "FILE", help: "submit, request: payload or body from a file" },
    ifVersion: { type: "string", value: "N", help: "load: only if this version is in force" },
    timeoutMs: { type: "string", value: "N", help: "wait: the longest wait, 10 minutes if not given" },
};
