import type { Guarantee, InventoryVm } from "@persimmonpitch/schema/configuration.js";
import type { UnboundInstance } from "./guaranteeCheck.js";
import type { CheckSubject, InventoryCheck } from "./inventoryCheck.js";
import { nameOf } from "./inventoryCheck.js";
import type { InventoryMessageId } from "./inventoryMessages.js";
import { report } from "./inventoryMessages.js";
import { fitShape } from "./shapeFit.js";

const describeShape = ({ shape }: Guarantee): string =>
    `${shape.acceleratorsPerVm} accelerators, ${shape.coresPerVm} cores and ${shape.memoryMbPerVm} MB each`;

const isContradictory = ({ shape }: Guarantee): boolean => shape.adjacency === "vm" && shape.vms > 1;

const fitsAlone = (vms: readonly InventoryVm[], guarantee: Guarantee): boolean =>
    !isContradictory(guarantee) && fitShape(vms, guarantee).fittingVms >= guarantee.shape.vms;

const checkShapes: InventoryCheck = ({ body, places }) =>
    body.guarantees.flatMap((guarantee, index) => {
        const place = places.guarantees[index];
        const { shape } = guarantee;
        const name = nameOf(guarantee);
        if (isContradictory(guarantee)) {
            return [report("shapeContradictsAdjacency", place, { name, vms: shape.vms })];
        }
        const { fittingVms, withoutAccelerators } = fitShape(body.vms, guarantee);
        if (fittingVms >= shape.vms) {
            return [];
        }
        const data = {
            name,
            needed: shape.vms,
            shape: describeShape(guarantee),
            adjacency: shape.adjacency,
            found: fittingVms,
        };
        const bare = withoutAccelerators.map(id =>
            report("vmWithoutAccelerators", places.vms[body.vms.findIndex(vm => vm.id === id)], { id, name })
        );
        return [report("shapeNeverFits", place, data), ...bare];
    });

const promisedBy = (guarantees: readonly Guarantee[]): number =>
    guarantees.reduce((sum, { shape, count }) => sum + shape.vms * shape.acceleratorsPerVm * count, 0);

const acceleratorsOf = (vms: readonly InventoryVm[]): number =>
    vms.reduce((sum, { kind, accelerators }) => sum + (kind === "worker" ? accelerators : 0), 0);

const checkTotal: InventoryCheck = ({ body, places }) => {
    const promised = promisedBy(body.guarantees);
    const present = acceleratorsOf(body.vms);
    return promised > present ? [report("guaranteesExceedTotal", places.whole, { promised, present })] : [];
};

/** A guarantee that names a single data centre can be kept nowhere else, so these sum up within it. */
const checkDataCentres: InventoryCheck = ({ body, places }) => {
    const dataCentres = [...new Set(body.vms.map(({ dataCentre }) => dataCentre))];
    return dataCentres.flatMap(dataCentre => {
        const isBoundHere = ({ dataCentres: named }: Guarantee) => named?.every(each => each === dataCentre) ?? false;
        const promised = promisedBy(body.guarantees.filter(isBoundHere));
        const present = acceleratorsOf(body.vms.filter(vm => vm.dataCentre === dataCentre));
        return promised > present
            ? [report(
                "guaranteesExceedDataCentre",
                places.guarantees[body.guarantees.findIndex(isBoundHere)],
                { dataCentre, promised, present },
            )]
            : [];
    });
};

const instanceKey = ({ team, name, instance }: UnboundInstance): string => `${team}/${name}/${instance}`;

const without = (vms: readonly InventoryVm[], ids: readonly string[]): readonly InventoryVm[] => {
    const left = new Set(ids);
    return vms.filter(({ id }) => !left.has(id));
};

/** Instances that drains break, beyond those that drains in force break already. */
const findBroken = (
    { body: { vms, drained }, checkGuarantees, drainsInForce }: CheckSubject,
    guarantees: readonly Guarantee[],
): readonly UnboundInstance[] => {
    if (drained.length === 0) {
        return [];
    }
    const stillDrained = drained.filter(id => drainsInForce.includes(id));
    const known = new Set(checkGuarantees(without(vms, stillDrained), guarantees).map(instanceKey));
    return checkGuarantees(without(vms, drained), guarantees).filter(each => !known.has(instanceKey(each)));
};

/** Exact binding, for the guarantees that fit alone and are listed once; the others have a finding already. */
const checkBinding: InventoryCheck = subject => {
    const { body, places, checkGuarantees } = subject;
    const isFirst = (guarantee: Guarantee, index: number) =>
        body.guarantees.findIndex(other => nameOf(other) === nameOf(guarantee)) === index;
    const fitting = body.guarantees.filter((guarantee, index) =>
        isFirst(guarantee, index) && fitsAlone(body.vms, guarantee)
    );
    const reportAll = (id: InventoryMessageId, instances: readonly UnboundInstance[]) =>
        instances.map(each => {
            const index = body.guarantees.findIndex(guarantee => nameOf(guarantee) === nameOf(each));
            return report(id, places.guarantees[index], { name: nameOf(each), instance: each.instance });
        });
    return [
        ...reportAll("guaranteeUnbound", checkGuarantees(body.vms, fitting)),
        ...reportAll("drainBreaksGuarantee", findBroken(subject, fitting)),
    ];
};

const checkQuotas: InventoryCheck = ({ body, places }) =>
    body.teams.flatMap(({ id, quotaAccelerators }, index) => {
        const promised = promisedBy(body.guarantees.filter(({ team }) => team === id));
        return quotaAccelerators !== undefined && promised > quotaAccelerators
            ? [report("quotaBelowGuarantees", places.teams[index], { team: id, quota: quotaAccelerators, promised })]
            : [];
    });

/** Checks of what the guarantees promise against what there is. */
export const promiseChecks: readonly InventoryCheck[] = [
    checkShapes,
    checkTotal,
    checkDataCentres,
    checkBinding,
    checkQuotas,
];
