import type { Finding } from "@persimmonpitch/findings/finding.js";
import type { ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import { entryChecks } from "./checkEntries.js";
import { promiseChecks } from "./checkPromises.js";
import type { CheckGuarantees } from "./guaranteeCheck.js";
import type { InventoryCheck } from "./inventoryCheck.js";
import { report } from "./inventoryMessages.js";
import type { InventoryPlaces } from "./inventoryPlaces.js";
import { placesOfBody } from "./inventoryPlaces.js";

const checkWeights: InventoryCheck = ({ body, places }) =>
    body.rules.completionWeight + body.rules.fragmentationWeight > 0 ? [] : [report("weightsSumToZero", places.rules)];

const checks: readonly InventoryCheck[] = [...entryChecks, ...promiseChecks, checkWeights];

/** Checks what a schema cannot: references, duplicates, and whether the guarantees can all be kept at once. */
export const checkInventory = (
    body: ConfigurationBody,
    checkGuarantees: CheckGuarantees,
    places: InventoryPlaces = placesOfBody(body),
    drainsInForce: readonly string[] = [],
): readonly Finding[] => checks.flatMap(check => check({ body, places, checkGuarantees, drainsInForce }));
