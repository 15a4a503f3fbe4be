import type { Guarantee, InventoryVm } from "@persimmonpitch/schema/configuration.js";
import t from "tap";
import { checkGuarantees } from "../src/checkGuarantees.js";
import { guaranteeOf, vmsOf } from "./clusterFixture.js";

const inventory: readonly InventoryVm[] = vmsOf(8).map(({ vmId, rack, dataCentre, accelerators, cores, memoryMb }) => ({
    id: vmId,
    rack,
    dataCentre,
    kind: "worker",
    accelerators,
    cores,
    memoryMb,
}));

const CASES: readonly { readonly guardsAgainst: string; readonly guarantees: readonly Guarantee[]; }[] = [
    { guardsAgainst: "a refusal of what fits exactly", guarantees: [guaranteeOf("weavers", { vms: 2 }, { count: 4 })] },
    {
        guardsAgainst: "small shapes that take the place of nested large ones",
        guarantees: [
            guaranteeOf("potters", { accelerators: 2, adjacency: "vm" }, { count: 8 }),
            guaranteeOf("dyers", { accelerators: 4, vms: 2, adjacency: "rack" }, { count: 2 }),
            guaranteeOf("weavers", { vms: 4, adjacency: "dataCentre" }),
        ],
    },
    { guardsAgainst: "more promised than there is", guarantees: [guaranteeOf("weavers", {}, { count: 9 })] },
    { guardsAgainst: "a rack that is too small", guarantees: [guaranteeOf("weavers", { vms: 3, adjacency: "rack" })] },
    {
        guardsAgainst: "cells outside the data centres that the team wants",
        guarantees: [guaranteeOf("weavers", {}, { count: 5, dataCentres: ["dc1"] })],
    },
    {
        guardsAgainst: "cores that are promised twice",
        guarantees: [guaranteeOf("weavers", { accelerators: 1, cores: 40 }, { count: 9 })],
    },
];

void t.test("instances that the inventory cannot hold", t => {
    const lines = CASES.map(({ guardsAgainst, guarantees }) => {
        const unmet = checkGuarantees(inventory, guarantees).map(({ team, instance }) => `${team}/${instance}`);
        return `${guardsAgainst}: ${unmet.length === 0 ? "all bound" : `unmet ${unmet.join(" ")}`}`;
    });
    t.matchSnapshot(lines.join("\n"));
    t.end();
});
