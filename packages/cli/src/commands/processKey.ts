import { deriveProcessKey } from "@persimmonpitch/protocol/processKey.js";
import { readText } from "@persimmonpitch/settings/readSettings.js";
import { err, ok } from "true-myth/result";
import { report } from "../cliMessages.js";
import type { Command } from "../command.js";

const DEPLOYMENT_KEY = /^[0-9a-f]{64}$/;

/** Derives the key that an agent's settings hold; it opens connections under that VM's name only. */
export const processKey: Command = {
    summary: "derives the key of one process from the file with the deployment key",
    args: ["VM", "KEY_FILE"],
    flags: [],
    run: ({ args: [vmId = "", file = ""] }) => {
        const read = readText(file);
        if (read.isErr) {
            return Promise.resolve(err({ kind: "input", findings: read.error }));
        }
        const deploymentKey = read.value.trim();
        if (!DEPLOYMENT_KEY.test(deploymentKey)) {
            return Promise.resolve(err({ kind: "input", findings: [report("wrongDeploymentKey", {}, { file })] }));
        }
        const key = deriveProcessKey(Buffer.from(deploymentKey, "hex"), vmId).toString("hex");
        return Promise.resolve(ok({ text: key, json: { vmId, processKey: key } }));
    },
};
