import { formatFindings } from "@persimmonpitch/findings/finding.js";
import { checkInventory } from "@persimmonpitch/inventory/checkInventory.js";
import { ok } from "true-myth/result";
import type { Command, CommandOutput } from "../command.js";
import { readInventory } from "../readInventory.js";

const BINDING_NOT_CHECKED = "The exact binding of guarantees was not checked.";

const noBinding = () => [];

/** Checks an inventory file without a server. */
export const check: Command = {
    summary: "checks an inventory file and reports every finding",
    args: ["FILE"],
    flags: ["register"],
    run: ({ args: [file = ""], flags, functions: { checkGuarantees } }) => {
        const output = readInventory(file, flags.register).map(({ body, places }): CommandOutput => {
            const findings = checkInventory(body, checkGuarantees ?? noBinding, places);
            const lines = [
                findings.length === 0 ? "No findings." : formatFindings(findings),
                ...checkGuarantees === undefined ? [BINDING_NOT_CHECKED] : [],
            ];
            return {
                text: lines.join("\n"),
                json: { findings, bindingChecked: checkGuarantees !== undefined },
                exitCode: findings.length === 0 ? 0 : 1,
            };
        });
        // Faults of the text are the findings of this command, so they are an output and not a failure.
        return Promise.resolve(output.orElse(failure =>
            failure.kind === "input"
                ? ok({ text: formatFindings(failure.findings), json: { findings: failure.findings }, exitCode: 1 })
                : output
        ));
    },
};
