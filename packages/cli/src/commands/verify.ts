import { formatFindings } from "@persimmonpitch/findings/finding.js";
import { open } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { err, ok } from "true-myth/result";
import type { CliFailure } from "../cliFailure.js";
import { report } from "../cliMessages.js";
import type { Command, CommandResult, VerifyHistory } from "../command.js";

const unreadable = (error: unknown, file: string): CliFailure => {
    const detail = error instanceof Error ? error.message : String(error);
    return { kind: "input", findings: [report("fileNotRead", { detail }, { file })] };
};

const verifyHandle = async (handle: FileHandle, file: string, verifyHistory: VerifyHistory): Promise<CommandResult> => {
    const findings = await verifyHistory(handle.readLines({ encoding: "utf8" }), { file });
    return ok({
        text: findings.length === 0 ? "The history is complete." : formatFindings(findings),
        json: { findings },
        exitCode: findings.length === 0 ? 0 : 1,
    });
};

/** Checks an exported history without a server. */
export const verify: Command = {
    summary: "checks an exported history",
    args: ["FILE"],
    flags: [],
    run: async ({ args: [file = ""], functions: { verifyHistory } }) => {
        if (verifyHistory === undefined) {
            return err({ kind: "input", findings: [report("notAvailable", { name: "verify" })] });
        }
        try {
            const handle = await open(file);
            return await verifyHandle(handle, file, verifyHistory).finally(() => handle.close());
        }
        catch (error) {
            return err(unreadable(error, file));
        }
    },
};
