import { readSettings } from "@persimmonpitch/settings/readSettings.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { ApiClient } from "./apiClient.js";
import { createApiClient } from "./apiClient.js";
import type { CliFailure } from "./cliFailure.js";
import type { CliFlags } from "./cliFlags.js";
import { report } from "./cliMessages.js";
import { cliSettingsSchema } from "./cliSettings.js";
import type { CliFunctions, CommandOutput } from "./command.js";
import { parseCommandLine } from "./commandLine.js";
import type { CommandLine } from "./commandLine.js";
import { commands } from "./commands.js";
import { formatFailure } from "./formatFailure.js";
import { helpText } from "./helpText.js";

export type ExitCode = 0 | 1 | 2;

/** What the command line needs of its process. */
export interface CliProcess {
    readonly version: string;
    readonly functions: CliFunctions;
    readonly signal: AbortSignal;
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
}

const connect = ({ settings }: CliFlags, signal: AbortSignal): Result<ApiClient, CliFailure> => {
    if (settings === undefined) {
        return err({ kind: "usage", findings: [report("settingsRequired")] });
    }
    return readSettings(settings, cliSettingsSchema)
        .map(checked => createApiClient(checked, signal))
        .mapErr(findings => ({ kind: "usage", findings }));
};

const runCommand = async (
    { name, args, flags }: Extract<CommandLine, { readonly kind: "command"; }>,
    { functions, signal }: CliProcess,
): Promise<Result<CommandOutput, CliFailure>> => {
    const clients: ApiClient[] = [];
    const connectOnce = () =>
        connect(flags, signal).map(client => {
            clients.push(client);
            return client;
        });
    const result = await commands[name].run({ args, flags, functions, signal, connect: connectOnce });
    await Promise.all(clients.map(client => client.close()));
    return result;
};

const runLine = async (line: CommandLine, cliProcess: CliProcess): Promise<Result<CommandOutput, CliFailure>> => {
    switch (line.kind) {
        case "help":
            return ok({ text: helpText(), json: undefined });
        case "version":
            return ok({ text: cliProcess.version, json: undefined });
        case "command":
            return runCommand(line, cliProcess);
        default:
            return line satisfies never;
    }
};

/** Runs one command line and returns the exit code. */
export const runCli = async (argv: readonly string[], cliProcess: CliProcess): Promise<ExitCode> => {
    const line = parseCommandLine(argv);
    const result = line.isOk
        ? await runLine(line.value, cliProcess)
        : err<CommandOutput, CliFailure>({ kind: "usage", findings: line.error });
    if (result.isErr) {
        const { text, exitCode } = formatFailure(result.error);
        cliProcess.writeError(`${text}\n`);
        return exitCode;
    }
    const { text, json, exitCode } = result.value;
    const isJson = line.isOk && line.value.kind === "command" && line.value.flags.json === true;
    cliProcess.writeOutput(`${isJson ? JSON.stringify(json, undefined, 2) : text}\n`);
    return exitCode ?? 0;
};
