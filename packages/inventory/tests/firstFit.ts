import type { CheckGuarantees, UnboundInstance } from "../src/guaranteeCheck.js";

/** Stand-in for placement's binding: first fit within one data centre, which is enough for the cases here. */
export const firstFit: CheckGuarantees = (vms, guarantees) => {
    const free = new Map(vms.map(({ id, kind, accelerators }) => [id, kind === "worker" ? accelerators : 0]));
    return guarantees.flatMap(({ team, name, shape, count, dataCentres }) =>
        Array.from({ length: count }, (_, instance): readonly UnboundInstance[] => {
            const isFree = (id: string) => (free.get(id) ?? 0) >= shape.acceleratorsPerVm;
            const places = [...new Set(vms.map(({ dataCentre }) => dataCentre))].map(dataCentre =>
                vms.filter(vm =>
                    vm.dataCentre === dataCentre && (dataCentres?.includes(dataCentre) ?? true) && isFree(vm.id)
                )
            );
            const chosen = places.find(({ length }) => length >= shape.vms)?.slice(0, shape.vms);
            chosen?.forEach(({ id }) => free.set(id, (free.get(id) ?? 0) - shape.acceleratorsPerVm));
            return chosen === undefined ? [{ team, name, instance }] : [];
        }).flat()
    );
};
