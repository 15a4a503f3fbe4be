import { statusAnswerSchema } from "@persimmonpitch/schema/apiAnswers.js";
import type { StatusAnswer } from "@persimmonpitch/schema/apiAnswers.js";
import { formatSections } from "../formatTable.js";
import { readingCommand } from "../readingCommand.js";

const formatStatus = ({ region, role, configVersion, vms, teams, jobs, unmetGuarantees }: StatusAnswer): string =>
    formatSections([
        ["Region", ["region", "holder", "epoch", "configuration"], [[region, role.holder, role.epoch, configVersion]]],
        [
            "VMs",
            ["VM", "condition", "accelerators", "free", "leaving"],
            vms.map(({ vmId, condition, accelerators, freeAccelerators, leaving }) => [
                vmId,
                condition,
                accelerators,
                freeAccelerators,
                leaving ? "yes" : "no",
            ]),
        ],
        [
            "Teams",
            ["team", "running", "queued", "accelerators in use"],
            teams.map(({ team, running, queued, acceleratorsInUse }) => [team, running, queued, acceleratorsInUse]),
        ],
        [
            "Jobs",
            ["job", "team", "state", "reason", "detail"],
            jobs.map(({ jobId, team, state, reason, detail }) => [jobId, team, state, reason, detail]),
        ],
        [
            "Unmet guarantees",
            ["team", "guarantee", "instance"],
            unmetGuarantees.map(({ team, name, instance }) => [team, name, instance]),
        ],
    ]);

/** Shows what runs, what waits and why. */
export const status = readingCommand({
    summary: "shows VMs, teams, jobs with reasons, and unmet guarantees",
    args: [],
    pathOf: () => "/v1/admin/status",
    schema: statusAnswerSchema,
    format: formatStatus,
});
