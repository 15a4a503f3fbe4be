import { BinaryProcess } from "../binaryProcess.js";
import { buildBody, OPERATOR_TOKEN, planTeams, workerVms } from "../configurationBody.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";
import { readChildrenSeconds } from "../processUsage.js";
import { entryAt, loadConfiguration, withTestbed } from "../testbed.js";
import { toToml } from "../toml.js";

const VMS = 11;

/** Runs of the command line, one after another. */
export const commandLine: Measurement = {
    description: "runs of `persimmonpitch status`; processor time of all of them, and the largest memory seen in one",
    sizeUnit: "run",
    sizes: [1, 3, 6],
    quickSizes: [1, 2, 3],
    runsAlone: true,
    run: eachSize(size =>
        withTestbed(1, async bed => {
            const entry = entryAt(bed, 0);
            await loadConfiguration(entry, buildBody(workerVms(VMS), planTeams(VMS)), 0);
            const settings = `entries = [${JSON.stringify(entry.url)}]\n${toToml({ token: OPERATOR_TOKEN })}`;
            const before = readChildrenSeconds();
            let peakMb = 0;
            let succeeded = 0;
            for (let run = 0; run < size; run += 1) {
                const cli = BinaryProcess.start("persimmonpitch", settings, ["status"]);
                const ended = await cli.runToEnd();
                peakMb = Math.max(peakMb, ended.peakMb);
                succeeded += ended.exitCode === 0 ? 1 : 0;
            }
            return {
                "cpu ms": (readChildrenSeconds() - before) * 1_000,
                "peak resident MB": peakMb,
                "runs with exit code 0": succeeded,
            };
        })
    ),
};
