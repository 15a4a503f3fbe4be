import type { Configuration } from "@persimmonpitch/schema/configuration.js";
import { configurationSchema } from "@persimmonpitch/schema/configuration.js";
import type { Command } from "../command.js";
import { formatSections, formatTime } from "../formatTable.js";
import { readingCommand } from "../readingCommand.js";

const formatConfiguration = ({ version, loadedAt, loadedBy, body }: Configuration): string => {
    const drained = new Set(body.drained);
    return formatSections([
        ["Configuration", ["version", "loaded at", "loaded by"], [[version, formatTime(loadedAt), loadedBy]]],
        [
            "VMs",
            ["VM", "kind", "service", "data centre", "rack", "cores", "memory MB", "accelerators", "drained"],
            body.vms.map(({ id, kind, service, dataCentre, rack, cores, memoryMb, accelerators }) => [
                id,
                kind,
                service,
                dataCentre,
                rack,
                cores,
                memoryMb,
                accelerators,
                drained.has(id) ? "yes" : "no",
            ]),
        ],
        ["Teams", ["team", "weight", "quota"], body.teams.map(team => [team.id, team.weight, team.quotaAccelerators])],
        [
            "Guarantees",
            ["team", "guarantee", "count", "VMs", "accelerators per VM", "adjacency", "data centres"],
            body.guarantees.map(({ team, name, count, shape, dataCentres }) => [
                team,
                name,
                count,
                shape.vms,
                shape.acceleratorsPerVm,
                shape.adjacency,
                dataCentres?.join(","),
            ]),
        ],
        ["Operators", ["operator"], body.operators.map(({ id }) => [id])],
        ["Rules", ["rule", "value"], Object.entries(body.rules)],
    ]);
};

/** Shows the configuration in force. */
export const show: Command = readingCommand({
    summary: "shows the configuration in force",
    args: [],
    pathOf: () => "/v1/admin/config",
    schema: configurationSchema,
    format: formatConfiguration,
});
