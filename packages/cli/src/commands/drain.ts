import { drainAnswerSchema } from "@persimmonpitch/schema/apiAnswers.js";
import { err } from "true-myth/result";
import type { Command } from "../command.js";

/** Takes a VM out of use once its work has ended. */
export const drain: Command = {
    summary: "gives a VM no new work",
    args: ["VM"],
    flags: [],
    run: async ({ args: [vmId = ""], connect }) => {
        const api = connect();
        if (api.isErr) {
            return err(api.error);
        }
        const path = `/v1/admin/vms/${encodeURIComponent(vmId)}/drain`;
        // A second drain of the same VM changes nothing.
        const answer = await api.value.call({ method: "POST", path, isRepeatable: true }, drainAnswerSchema);
        return answer.map(({ value }) => ({
            text: `The VM ${value.vmId} is drained as of configuration version ${value.configVersion}.`,
            json: value,
        }));
    },
};
