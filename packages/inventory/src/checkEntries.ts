import type { Finding, Place } from "@persimmonpitch/findings/finding.js";
import type { InventoryVm } from "@persimmonpitch/schema/configuration.js";
import type { InventoryCheck } from "./inventoryCheck.js";
import { nameOf } from "./inventoryCheck.js";
import type { InventoryMessageId } from "./inventoryMessages.js";
import { report } from "./inventoryMessages.js";

const describePlace = ({ file, line, path }: Place = {}): string =>
    line === undefined ? path ?? file ?? "the same input" : `${file ?? "line"}:${line}`;

const findDuplicates = (
    id: InventoryMessageId,
    keys: readonly string[],
    places: readonly Place[],
    names: readonly string[] = keys,
): readonly Finding[] => {
    const firsts = new Map<string, number>();
    return keys.flatMap((key, index) => {
        const first = firsts.get(key);
        if (first === undefined) {
            firsts.set(key, index);
            return [];
        }
        return [report(id, places[index], { id: names[index] ?? key, first: describePlace(places[first]) })];
    });
};

const checkDuplicates: InventoryCheck = ({ body, places }) => [
    ...findDuplicates("duplicateVm", body.vms.map(({ id }) => id), places.vms),
    ...findDuplicates("duplicateTeam", body.teams.map(({ id }) => id), places.teams),
    ...findDuplicates("duplicateOperator", body.operators.map(({ id }) => id), places.operators),
    ...findDuplicates("duplicateGuarantee", body.guarantees.map(nameOf), places.guarantees),
    ...findDuplicates("duplicateDrain", body.drained, places.drained),
];

const checkTokens: InventoryCheck = ({ body, places }) => {
    const holders = [...body.teams, ...body.operators];
    return findDuplicates(
        "sharedToken",
        holders.map(({ tokenSha256 }) => tokenSha256),
        [...places.teams, ...places.operators],
        holders.map(({ id }) => id),
    );
};

const checkOperators: InventoryCheck = ({ body, places }) =>
    body.operators.length === 0 ? [report("noOperator", places.whole)] : [];

const checkReferences: InventoryCheck = ({ body, places }) => {
    const teams = new Set(body.teams.map(({ id }) => id));
    const vms = new Set(body.vms.map(({ id }) => id));
    const dataCentres = new Set(body.vms.filter(({ kind }) => kind === "worker").map(({ dataCentre }) => dataCentre));
    const ofGuarantees = body.guarantees.flatMap((guarantee, index) => {
        const place = places.guarantees[index];
        const name = nameOf(guarantee);
        const unknown = guarantee.dataCentres?.filter(dataCentre => !dataCentres.has(dataCentre)) ?? [];
        return [
            ...teams.has(guarantee.team) ? [] : [report("unknownTeam", place, { name, team: guarantee.team })],
            ...unknown.map(dataCentre => report("unknownDataCentre", place, { name, dataCentre })),
        ];
    });
    const ofDrains = body.drained.flatMap((id, index) =>
        vms.has(id) ? [] : [report("unknownDrainedVm", places.drained[index], { id })]
    );
    return [...ofGuarantees, ...ofDrains];
};

const checkRacks: InventoryCheck = ({ body, places }) => {
    const firsts = new Map<string, number>();
    return body.vms.flatMap(({ rack, dataCentre }, index) => {
        const first = firsts.get(rack) ?? index;
        firsts.set(rack, first);
        const other = body.vms[first]?.dataCentre ?? dataCentre;
        return other === dataCentre
            ? []
            : [report("rackInTwoDataCentres", places.vms[index], {
                rack,
                other,
                here: dataCentre,
                first: describePlace(places.vms[first]),
            })];
    });
};

const checkKind = ({ id, kind, service }: InventoryVm, place: Place | undefined): readonly Finding[] => {
    if (kind === "executor") {
        return service === undefined ? [report("executorWithoutService", place, { id })] : [];
    }
    return service === undefined ? [] : [report("workerWithService", place, { id })];
};

const checkKinds: InventoryCheck = ({ body, places }) =>
    body.vms.flatMap((vm, index) => checkKind(vm, places.vms[index]));

/** Checks of single entries and of the references between them. */
export const entryChecks: readonly InventoryCheck[] = [
    checkDuplicates,
    checkTokens,
    checkOperators,
    checkReferences,
    checkRacks,
    checkKinds,
];
