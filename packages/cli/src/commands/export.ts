import { createWriteStream } from "node:fs";
import { rename, rm } from "node:fs/promises";
import { pipeline } from "node:stream/promises";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { ApiStream } from "../apiClient.js";
import type { CliFailure } from "../cliFailure.js";
import { report } from "../cliMessages.js";
import type { Command } from "../command.js";

const NEWLINE = 0x0a;

interface Written {
    readonly lines: number;
    readonly bytes: number;
}

const isFileError = (error: unknown): boolean =>
    error instanceof Error && "syscall" in error && ["open", "write", "rename"].includes(String(error.syscall));

const failureOf = (error: unknown, url: string, file: string): CliFailure => {
    const detail = error instanceof Error ? error.message : String(error);
    return isFileError(error)
        ? { kind: "input", findings: [report("fileNotWritten", { detail }, { file })] }
        : { kind: "invalidAnswer", entry: { url, detail: `the export broke off (${detail})` } };
};

/** Writes beside the file first, so that a file of this name is always a whole export. */
const writeAll = async ({ url, body }: ApiStream, file: string): Promise<Result<Written, CliFailure>> => {
    const partFile = `${file}.part`;
    let lines = 0;
    let bytes = 0;
    const count = async function*(chunks: AsyncIterable<Uint8Array>) {
        for await (const chunk of chunks) {
            bytes += chunk.length;
            lines += chunk.reduce((sum, byte) => sum + (byte === NEWLINE ? 1 : 0), 0);
            yield chunk;
        }
    };
    try {
        await pipeline(body, count, createWriteStream(partFile));
        await rename(partFile, file);
        return ok({ lines, bytes });
    }
    catch (error) {
        await rm(partFile, { force: true });
        return err(failureOf(error, url, file));
    }
};

/** Streams a team's whole history to a file. */
export const exportHistory: Command = {
    summary: "writes a team's whole history to a file",
    args: [],
    flags: ["output", "team"],
    run: async ({ flags: { output, team }, connect }) => {
        if (output === undefined) {
            return err({ kind: "usage", findings: [report("outputRequired")] });
        }
        const api = connect();
        if (api.isErr) {
            return err(api.error);
        }
        const path = team === undefined ? "/v1/history" : `/v1/admin/teams/${encodeURIComponent(team)}/history`;
        const answer = await api.value.stream({ method: "GET", path, isRepeatable: true });
        if (answer.isErr) {
            return err(answer.error);
        }
        const written = await writeAll(answer.value, output);
        return written.map(({ lines, bytes }) => ({
            text: `${lines} lines (${bytes} bytes) are written to ${output}. The command verify checks them.`,
            json: { file: output, lines, bytes },
        }));
    },
};
