import type { ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import type { FindingBody } from "@persimmonpitch/schema/problem.js";

/** All faults of a configuration that a schema cannot see. */
export const checkBody = (body: ConfigurationBody): readonly FindingBody[] => {
    const findings: FindingBody[] = [];
    const ids = new Set<string>();
    body.vms.forEach(({ id }, index) => {
        if (ids.has(id)) {
            findings.push({
                messageId: "duplicateVm",
                message: `The VM ${id} is listed twice.`,
                place: { path: `vms.${index}` },
            });
        }
        ids.add(id);
    });
    return findings;
};
