import type { Finding } from "@persimmonpitch/findings/finding.js";
import type { CheckGuarantees } from "@persimmonpitch/inventory/guaranteeCheck.js";
import type { Result } from "true-myth/result";
import type { ApiClient } from "./apiClient.js";
import type { CliFailure } from "./cliFailure.js";
import type { CliFlags, FlagName } from "./cliFlags.js";

/** Checks the lines of an exported history; the file is its name in findings. */
export type VerifyHistory = (
    lines: AsyncIterable<string>,
    options: { readonly file: string; },
) => Promise<readonly Finding[]>;

/** Functions of other packages that commands use. */
export interface CliFunctions {
    readonly checkGuarantees?: CheckGuarantees;
    readonly verifyHistory?: VerifyHistory;
}

/** What a command prints; the exit code is 0 unless it says otherwise. */
export interface CommandOutput {
    readonly text: string;
    readonly json: unknown;
    readonly exitCode?: 0 | 1;
}

export type CommandResult = Result<CommandOutput, CliFailure>;

/** What a command is given. */
export interface CommandContext {
    readonly args: readonly string[];
    readonly flags: CliFlags;
    readonly functions: CliFunctions;
    readonly signal: AbortSignal;
    /** Reads the settings and opens the client, once. */
    readonly connect: () => Result<ApiClient, CliFailure>;
}

/** One command of the command line. */
export interface Command {
    readonly summary: string;
    /** Names of the arguments; those in brackets may be left out. */
    readonly args: readonly string[];
    readonly flags: readonly FlagName[];
    readonly run: (context: CommandContext) => Promise<CommandResult>;
}
