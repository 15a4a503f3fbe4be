import type { Place } from "@persimmonpitch/findings/finding.js";
import type { ConfigurationBody } from "@persimmonpitch/schema/configuration.js";

/** Where each part of a configuration body was written; the lists run parallel to those of the body. */
export interface InventoryPlaces {
    readonly vms: readonly Place[];
    readonly teams: readonly Place[];
    readonly operators: readonly Place[];
    readonly guarantees: readonly Place[];
    readonly drained: readonly Place[];
    readonly rules: Place;
    /** The input as a whole. */
    readonly whole: Place;
}

const pathsOf = (name: string, list: readonly unknown[]): readonly Place[] =>
    list.map((_, index) => ({ path: `${name}[${index}]` }));

/** Places of a body that came without a file, such as the body of an HTTP request: its key paths. */
export const placesOfBody = (body: ConfigurationBody): InventoryPlaces => ({
    vms: pathsOf("vms", body.vms),
    teams: pathsOf("teams", body.teams),
    operators: pathsOf("operators", body.operators),
    guarantees: pathsOf("guarantees", body.guarantees),
    drained: pathsOf("drained", body.drained),
    rules: { path: "rules" },
    whole: {},
});
