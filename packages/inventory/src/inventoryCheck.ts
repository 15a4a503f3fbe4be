import type { Finding } from "@persimmonpitch/findings/finding.js";
import type { ConfigurationBody } from "@persimmonpitch/schema/configuration.js";
import type { CheckGuarantees } from "./guaranteeCheck.js";
import type { InventoryPlaces } from "./inventoryPlaces.js";

/** What a check looks at. */
export interface CheckSubject {
    readonly body: ConfigurationBody;
    readonly places: InventoryPlaces;
    readonly checkGuarantees: CheckGuarantees;
    /** Drains that were accepted earlier; what they break is no reason to refuse other changes. */
    readonly drainsInForce: readonly string[];
}

/** One check of an inventory; it reports all that it finds. */
export type InventoryCheck = (subject: CheckSubject) => readonly Finding[];

/** Guarantees have names within their team. */
export const nameOf = ({ team, name }: { readonly team: string; readonly name: string; }): string => `${team}/${name}`;
