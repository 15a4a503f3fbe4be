import { checkInventory } from "@persimmonpitch/inventory/checkInventory.js";
import { diffInventory, isEmptyDiff } from "@persimmonpitch/inventory/diffInventory.js";
import { formatDiff } from "@persimmonpitch/inventory/formatDiff.js";
import type { ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import { configurationSchema } from "@persimmonpitch/schema/configuration.js";
import { err, ok } from "true-myth/result";
import type { ApiClient } from "../apiClient.js";
import type { CliFailure } from "../cliFailure.js";
import type { Command, CommandResult } from "../command.js";
import { readConfigurationInForce } from "../configurationInForce.js";
import { emptyBody, withDrainsInForce } from "../drainsInForce.js";
import { readInventory } from "../readInventory.js";

/** Names both versions when the server refused because another load came first. */
const withVersions = async (api: ApiClient, failure: CliFailure, readVersion: number): Promise<CliFailure> => {
    if (failure.kind !== "problem" || failure.problem.code !== "versionConflict") {
        return failure;
    }
    const named = failure.problem.currentVersion;
    if (named !== undefined) {
        return { kind: "conflict", readVersion, currentVersion: named };
    }
    const inForce = await readConfigurationInForce(api);
    return inForce.isOk ? { kind: "conflict", readVersion, currentVersion: inForce.value.version } : failure;
};

const put = async (
    api: ApiClient,
    body: ConfigurationBody,
    readVersion: number,
    changes: string,
): Promise<CommandResult> => {
    const answer = await api.call(
        { method: "PUT", path: "/v1/admin/config", body, ifMatch: `"${readVersion}"`, isRepeatable: false },
        configurationSchema,
    );
    if (answer.isErr) {
        return err(await withVersions(api, answer.error, readVersion));
    }
    const { version, loadedAt, loadedBy } = answer.value.value;
    return ok({ text: `${changes}\nVersion ${version} is loaded.`, json: { version, loadedAt, loadedBy } });
};

/** Loads an inventory file by compare-and-set on the version that was read. */
export const load: Command = {
    summary: "loads an inventory file if no other load came first",
    args: ["FILE"],
    flags: ["register", "ifVersion"],
    run: async ({ args: [file = ""], flags, functions, connect }) => {
        const inventory = readInventory(file, flags.register);
        if (inventory.isErr) {
            return err(inventory.error);
        }
        const api = connect();
        if (api.isErr) {
            return err(api.error);
        }
        const inForce = await readConfigurationInForce(api.value);
        if (inForce.isErr) {
            return err(inForce.error);
        }
        const { version, configuration } = inForce.value;
        if (flags.ifVersion !== undefined && flags.ifVersion !== version) {
            return err({ kind: "conflict", readVersion: flags.ifVersion, currentVersion: version });
        }
        const body = withDrainsInForce(inventory.value, configuration);
        const findings = checkInventory(
            body,
            functions.checkGuarantees ?? (() => []),
            inventory.value.places,
            configuration?.body.drained,
        );
        if (findings.length > 0) {
            return err({ kind: "input", findings });
        }
        const changes = diffInventory(configuration?.body ?? emptyBody, body);
        return configuration !== undefined && isEmptyDiff(changes)
            ? ok({ text: `Version ${version} is in force already; nothing was loaded.`, json: { version } })
            : put(api.value, body, version, formatDiff(changes));
    },
};
