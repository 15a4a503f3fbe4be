import type { Configuration } from "@persimmonpitch/schema/configuration.js";
import { configurationSchema } from "@persimmonpitch/schema/configuration.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { ApiClient } from "./apiClient.js";
import type { CliFailure } from "./cliFailure.js";

/** Version that stands for "nothing has been loaded yet". */
export const NO_VERSION = 0;

/** The configuration in force; before the first load there is only the version 0. */
export interface ConfigurationInForce {
    readonly version: number;
    readonly configuration?: Configuration;
}

/**
 * Reads the configuration in force. An entry without one cannot tell whether any was ever loaded; a load over the
 * version 0 is safe all the same, because its compare-and-set fails if there is one.
 */
export const readConfigurationInForce = async (
    api: ApiClient,
): Promise<Result<ConfigurationInForce, CliFailure>> => {
    const answer = await api.call(
        { method: "GET", path: "/v1/admin/config", isRepeatable: true },
        configurationSchema,
    );
    if (answer.isOk) {
        const { value: configuration, version = configuration.version } = answer.value;
        return ok({ version, configuration });
    }
    const { error } = answer;
    return error.kind === "problem" && error.problem.code === "noConfiguration"
        ? ok({ version: NO_VERSION })
        : err(error);
};
