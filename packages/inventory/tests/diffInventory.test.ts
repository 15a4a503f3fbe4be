import { configurationBodySchema } from "@persimmonpitch/schema/configuration.js";
import t from "tap";
import { diffInventory } from "../src/diffInventory.js";
import { formatDiff } from "../src/formatDiff.js";

const vm = (id: string, more = {}) => ({
    id,
    rack: "r1",
    dataCentre: "north",
    kind: "worker",
    cores: 8,
    memoryMb: 1_024,
    accelerators: 8,
    ...more,
});
const team = (id: string, digit: string, more = {}) => ({ id, tokenSha256: digit.repeat(64), ...more });
const guarantee = (name: string, shape = {}, more = {}) => ({
    team: "t1",
    name,
    shape: { vms: 1, acceleratorsPerVm: 8, ...shape },
    ...more,
});

const before = configurationBodySchema.parse({
    vms: [vm("a"), vm("b"), vm("c")],
    teams: [team("t1", "1"), team("t2", "2")],
    operators: [team("lead", "3")],
    guarantees: [guarantee("g"), guarantee("old")],
    drained: ["a"],
});
const after = configurationBodySchema.parse({
    vms: [vm("d", { kind: "executor", service: "desk", accelerators: 0 }), vm("c"), vm("b", { cores: 4, rack: "r2" })],
    teams: [team("t1", "4", { weight: 2, quotaAccelerators: 8 }), team("t3", "5")],
    operators: [team("lead", "3"), team("night", "6")],
    guarantees: [
        guarantee("g", { vms: 2, adjacency: "rack" }, { dataCentres: ["north"] }),
        guarantee("new", {}, { count: 3, dataCentres: ["north"] }),
    ],
    rules: { completionWeight: 0.8 },
    drained: ["b"],
});

// Guards against a change that an operator does not see before loading it.
void t.test("differences in typed form and as text", t => {
    t.matchSnapshot(diffInventory(before, after), "typed");
    t.matchSnapshot(formatDiff(diffInventory(before, after)), "text");
    t.matchSnapshot(formatDiff(diffInventory(after, before)), "text, the other way");
    t.end();
});

// Guards against differences that are only a matter of order.
void t.test("the order of entries is no difference", t => {
    const reversed = { ...before, vms: [...before.vms].reverse(), teams: [...before.teams].reverse() };
    t.equal(formatDiff(diffInventory(before, reversed)), "No differences.");
    t.end();
});
