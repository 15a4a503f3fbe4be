import { checkInventory } from "@persimmonpitch/inventory/checkInventory.js";
import { placesOfBody } from "@persimmonpitch/inventory/inventoryPlaces.js";
import { checkGuarantees } from "@persimmonpitch/placement/checkGuarantees.js";
import type { ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import type { FindingBody } from "@persimmonpitch/schema/problem.js";

/** Returns the findings that the schema of a configuration cannot detect; a drain in force never prevents a load. */
export const checkConfiguration = (body: ConfigurationBody, drainsInForce: readonly string[]): readonly FindingBody[] =>
    checkInventory(body, checkGuarantees, placesOfBody(body), drainsInForce);
