import type { Guarantee, InventoryVm, Team } from "@persimmonpitch/schema/configuration.js";
import { rulesSchema } from "@persimmonpitch/schema/configuration.js";
import type { Adjacency, GangShape } from "@persimmonpitch/schema/gang.js";
import type { Deployment, DeploymentName } from "./traceSchema.js";

const ACCELERATORS_PER_VM = 8;
const VMS_PER_RACK = 3;
const MB_PER_GB = 1_024;
const TOKEN_SHA256 = "0".repeat(64);

interface Sizes {
    readonly workers: number;
    readonly dataCentres: number;
    readonly teams: number;
    readonly cores: number;
    readonly memoryGb: number;
    readonly oneWayMs: number;
    readonly completionWeight: number;
    /** Guaranteed shapes: VMs, accelerators per VM, adjacency, count; teams take them in turn. */
    readonly guarantees: readonly (readonly [number, number, Adjacency, number])[];
}

/** Section 3 of the design page; guarantees use about half of the capacity, so that there is something to borrow. */
const SIZES: Readonly<Record<DeploymentName, Sizes>> = {
    cooperative: {
        workers: 11,
        dataCentres: 4,
        teams: 4,
        cores: 128,
        memoryGb: 512,
        oneWayMs: 5,
        completionWeight: 0.7,
        guarantees: [[2, 8, "rack", 1], [1, 8, "vm", 1], [1, 4, "vm", 2], [1, 4, "vm", 1]],
    },
    lentesud: {
        workers: 11,
        dataCentres: 4,
        teams: 4,
        cores: 32,
        memoryGb: 64,
        oneWayMs: 3.5,
        completionWeight: 0.3,
        guarantees: [[2, 8, "rack", 1], [1, 8, "vm", 1], [1, 4, "vm", 2], [1, 4, "vm", 1]],
    },
    plan: {
        workers: 930,
        dataCentres: 5,
        teams: 350,
        cores: 128,
        memoryGb: 512,
        oneWayMs: 5,
        completionWeight: 0.5,
        guarantees: [[1, 8, "vm", 1], [1, 4, "vm", 2], [2, 8, "rack", 1], [1, 4, "vm", 1], [1, 8, "vm", 2]],
    },
};

/** A gang shape whose processors and memory are in proportion to its accelerators, so that they never bind first. */
export const gangShape = (
    { cores, memoryMb }: Pick<InventoryVm, "cores" | "memoryMb">,
    vms: number,
    acceleratorsPerVm: number,
    adjacency: Adjacency,
): GangShape => ({
    vms,
    acceleratorsPerVm,
    adjacency,
    coresPerVm: Math.floor(cores * acceleratorsPerVm / ACCELERATORS_PER_VM),
    memoryMbPerVm: Math.floor(memoryMb * acceleratorsPerVm / ACCELERATORS_PER_VM),
});

const makeVms = ({ workers, dataCentres, cores, memoryGb }: Sizes): InventoryVm[] =>
    Array.from({ length: workers }, (_, index): InventoryVm => {
        const rack = Math.floor(index / VMS_PER_RACK);
        return {
            id: `w${index}`,
            rack: `r${rack}`,
            dataCentre: `dc${rack % dataCentres}`,
            kind: "worker",
            cores,
            memoryMb: memoryGb * MB_PER_GB,
            accelerators: ACCELERATORS_PER_VM,
        };
    });

/** The deployment of this name with `scale` times its workers and teams. */
export const makeDeployment = (name: DeploymentName, scale = 1): Deployment => {
    const base = SIZES[name];
    const sizes = { ...base, workers: base.workers * scale, teams: base.teams * scale };
    const vms = makeVms(sizes);
    const size = { cores: sizes.cores, memoryMb: sizes.memoryGb * MB_PER_GB };
    const teams = Array.from(
        { length: sizes.teams },
        (_, index): Team => ({ id: `team${index}`, weight: index % 4 === 0 ? 2 : 1, tokenSha256: TOKEN_SHA256 }),
    );
    const guarantees = teams.flatMap((team, index): Guarantee[] => {
        const shape = sizes.guarantees[index % sizes.guarantees.length];
        if (shape === undefined) {
            return [];
        }
        const [memberCount, accelerators, adjacency, count] = shape;
        return [{ team: team.id, name: "main", shape: gangShape(size, memberCount, accelerators, adjacency), count }];
    });
    const rules = rulesSchema.parse({
        completionWeight: sizes.completionWeight,
        fragmentationWeight: 1 - sizes.completionWeight,
    });
    return { name, vms, teams, guarantees, rules, oneWayMs: sizes.oneWayMs };
};
