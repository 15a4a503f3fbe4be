import type { ParsedInventory } from "@persimmonpitch/inventory/parseInventory.js";
import type { Configuration, ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import { configurationBodySchema } from "@persimmonpitch/schema/configuration.js";

/** What is in force before the first load. */
export const emptyBody: ConfigurationBody = configurationBodySchema.parse({ vms: [], teams: [], operators: [] });

/** A file without the key `drained` keeps the drains in force; otherwise each load would undo the command `drain`. */
export const withDrainsInForce = (
    { body, setsDrained }: ParsedInventory,
    inForce: Configuration | undefined,
): ConfigurationBody => {
    if (setsDrained || inForce === undefined) {
        return body;
    }
    const listed = new Set(body.vms.map(({ id }) => id));
    return { ...body, drained: inForce.body.drained.filter(id => listed.has(id)) };
};
