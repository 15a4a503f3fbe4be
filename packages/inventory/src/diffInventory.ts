import type { ConfigurationBody, Guarantee } from "@persimmonpitch/schema/configuration.js";
import * as Ord from "fp-ts/lib/Ord.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import * as Text from "fp-ts/lib/string.js";
import { isDeepStrictEqual } from "node:util";
import type { ElementChange, FieldChange, InventoryDiff, ListDiff } from "./inventoryDiff.js";

const isTable = (value: unknown): value is Readonly<Record<string, unknown>> =>
    typeof value === "object" && value !== null && !Array.isArray(value);

const diffTables = (
    before: Readonly<Record<string, unknown>>,
    after: Readonly<Record<string, unknown>>,
): readonly FieldChange[] =>
    [...new Set([...Object.keys(before), ...Object.keys(after)])].flatMap(key =>
        diffField(key, before[key], after[key])
    );

const diffField = (field: string, before: unknown, after: unknown): readonly FieldChange[] => {
    if (isDeepStrictEqual(before, after)) {
        return [];
    }
    return isTable(before) && isTable(after)
        ? diffTables(before, after).map(change => ({ ...change, field: `${field}.${change.field}` }))
        : [{ field, before, after }];
};

const diffLists = <T>(before: readonly T[], after: readonly T[], keyOf: (element: T) => string): ListDiff<T> => {
    const olds = new Map(before.map(element => [keyOf(element), element]));
    const news = new Map(after.map(element => [keyOf(element), element]));
    const sort = ReadonlyArray.sort(Ord.contramap(keyOf)(Text.Ord));
    const changes = sort([...news.values()]).flatMap((now): readonly ElementChange<T>[] => {
        const old = olds.get(keyOf(now));
        if (old === undefined || !isTable(old) || !isTable(now)) {
            return [];
        }
        const fields = diffTables(old, now);
        return fields.length === 0 ? [] : [{ before: old, after: now, fields }];
    });
    return {
        added: sort([...news.values()].filter(element => !olds.has(keyOf(element)))),
        removed: sort([...olds.values()].filter(element => !news.has(keyOf(element)))),
        changed: changes,
    };
};

const idOf = ({ id }: { readonly id: string; }): string => id;

const guaranteeKey = ({ team, name }: Guarantee): string => `${team}/${name}`;

/** Compares two configurations; the order of elements does not matter. */
export const diffInventory = (before: ConfigurationBody, after: ConfigurationBody): InventoryDiff => ({
    vms: diffLists(before.vms, after.vms, idOf),
    teams: diffLists(before.teams, after.teams, idOf),
    operators: diffLists(before.operators, after.operators, idOf),
    guarantees: diffLists(before.guarantees, after.guarantees, guaranteeKey),
    drained: diffLists(before.drained, after.drained, id => id),
    rules: diffTables(before.rules, after.rules),
});

const isEmptyList = ({ added, removed, changed }: ListDiff<unknown>): boolean =>
    added.length + removed.length + changed.length === 0;

/** Whether two configurations are the same. */
export const isEmptyDiff = ({ vms, teams, operators, guarantees, drained, rules }: InventoryDiff): boolean =>
    rules.length === 0 && [vms, teams, operators, guarantees, drained].every(isEmptyList);
