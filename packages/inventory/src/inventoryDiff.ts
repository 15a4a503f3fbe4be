import type { Guarantee, InventoryVm, Operator, Team } from "@persimmonpitch/schema/configuration.js";

/** One field that differs; a nested field has its path, such as `shape.vms`. */
export interface FieldChange {
    readonly field: string;
    readonly before: unknown;
    readonly after: unknown;
}

/** An element that is in both versions with different content. */
export interface ElementChange<T> {
    readonly before: T;
    readonly after: T;
    readonly fields: readonly FieldChange[];
}

/** What differs between two lists of elements with keys. */
export interface ListDiff<T> {
    readonly added: readonly T[];
    readonly removed: readonly T[];
    readonly changed: readonly ElementChange<T>[];
}

/** What differs between two configurations. */
export interface InventoryDiff {
    readonly vms: ListDiff<InventoryVm>;
    readonly teams: ListDiff<Team>;
    readonly operators: ListDiff<Operator>;
    readonly guarantees: ListDiff<Guarantee>;
    readonly drained: ListDiff<string>;
    readonly rules: readonly FieldChange[];
}
