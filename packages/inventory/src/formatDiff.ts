import type { Guarantee, InventoryVm, Operator, Team } from "@persimmonpitch/schema/configuration.js";
import { isEmptyDiff } from "./diffInventory.js";
import type { FieldChange, InventoryDiff, ListDiff } from "./inventoryDiff.js";

const DIGEST = /^[0-9a-f]{64}$/;
const DIGEST_PREFIX_LENGTH = 8;

/** A digest is cut short: it serves only to tell two apart. */
const formatValue = (value: unknown): string => {
    if (value === undefined) {
        return "(none)";
    }
    return typeof value === "string" && DIGEST.test(value)
        ? `${value.slice(0, DIGEST_PREFIX_LENGTH)}...`
        : JSON.stringify(value);
};

const formatChange = ({ field, before, after }: FieldChange): string =>
    `${field} ${formatValue(before)} -> ${formatValue(after)}`;

const formatVm = ({ id, kind, service, rack, dataCentre, cores, memoryMb, accelerators }: InventoryVm): string => {
    const role = service === undefined ? kind : `${kind} of ${service}`;
    return `${id}: ${role} in ${dataCentre}/${rack}, ${cores} cores, ${memoryMb} MB, ${accelerators} accelerators`;
};

const formatTeam = ({ id, weight, quotaAccelerators }: Team): string =>
    `${id}: weight ${weight}, quota ${quotaAccelerators ?? "(none)"}`;

const formatOperator = ({ id }: Operator): string => id;

const nameGuarantee = ({ team, name }: Guarantee): string => `${team}/${name}`;

const formatGuarantee = (guarantee: Guarantee): string => {
    const { shape, count, dataCentres } = guarantee;
    const where = dataCentres === undefined ? "" : `, in ${dataCentres.join(", ")}`;
    const size = `${shape.vms} VMs of ${shape.acceleratorsPerVm} accelerators`;
    return `${nameGuarantee(guarantee)}: ${count} times ${size}, adjacency ${shape.adjacency}${where}`;
};

const formatSection = <T>(
    title: string,
    { added, removed, changed }: ListDiff<T>,
    nameOf: (element: T) => string,
    format: (element: T) => string,
): readonly string[] =>
    added.length + removed.length + changed.length === 0 ? [] : [
        `${title}: ${added.length} added, ${removed.length} removed, ${changed.length} changed`,
        ...added.map(element => `  + ${format(element)}`),
        ...removed.map(element => `  - ${format(element)}`),
        ...changed.map(({ after, fields }) => `  ~ ${nameOf(after)}: ${fields.map(formatChange).join(", ")}`),
    ];

const idOf = ({ id }: { readonly id: string; }): string => id;

const same = (text: string): string => text;

/** Writes a difference as lines for people: `+` added, `-` removed, `~` changed. */
export const formatDiff = (diff: InventoryDiff): string => {
    if (isEmptyDiff(diff)) {
        return "No differences.";
    }
    const rules = diff.rules.map(change => `  ~ ${formatChange(change)}`);
    return [
        ...formatSection("VMs", diff.vms, idOf, formatVm),
        ...formatSection("Teams", diff.teams, idOf, formatTeam),
        ...formatSection("Guarantees", diff.guarantees, nameGuarantee, formatGuarantee),
        ...formatSection("Operators", diff.operators, idOf, formatOperator),
        ...formatSection("Drained VMs", diff.drained, same, same),
        ...rules.length === 0 ? [] : [`Rules: ${rules.length} changed`, ...rules],
    ].join("\n");
};
