import { diffInventory } from "@persimmonpitch/inventory/diffInventory.js";
import { formatDiff } from "@persimmonpitch/inventory/formatDiff.js";
import type { ParsedInventory } from "@persimmonpitch/inventory/parseInventory.js";
import type { ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import { err } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { CliFailure } from "../cliFailure.js";
import type { Command, CommandContext, CommandOutput } from "../command.js";
import { readConfigurationInForce } from "../configurationInForce.js";
import { emptyBody, withDrainsInForce } from "../drainsInForce.js";
import { readInventory } from "../readInventory.js";

const outputOf = (before: ConfigurationBody, after: ConfigurationBody, version?: number): CommandOutput => {
    const diff = diffInventory(before, after);
    const heading = version === undefined ? [] : [`Compared with version ${version}:`];
    return {
        text: [...heading, formatDiff(diff)].join("\n"),
        json: version === undefined ? { diff } : { version, diff },
    };
};

const diffWithFile = (before: string, after: ParsedInventory): Result<CommandOutput, CliFailure> =>
    readInventory(before).map(({ body }) => outputOf(body, after.body));

const diffWithForce = async ({ connect }: CommandContext, after: ParsedInventory) => {
    const api = connect();
    if (api.isErr) {
        return err(api.error);
    }
    const inForce = await readConfigurationInForce(api.value);
    return inForce.map(({ version, configuration }) =>
        outputOf(configuration?.body ?? emptyBody, withDrainsInForce(after, configuration), version)
    );
};

/** Compares an inventory file with the configuration in force or with another file. */
export const diff: Command = {
    summary: "compares a file with the configuration in force, or with an older file",
    args: ["FILE", "[OLDER_FILE]"],
    flags: ["register"],
    run: async context => {
        const { args: [file = "", older], flags } = context;
        const after = readInventory(file, flags.register);
        if (after.isErr) {
            return err(after.error);
        }
        return older === undefined ? diffWithForce(context, after.value) : diffWithFile(older, after.value);
    },
};
