import type { ExecutorInfo } from "@persimmonpitch/workload/executorReport.js";
import t from "tap";
import { Deployment } from "./deploymentFixture.js";

const SECOND = 1_000;
const STEP = { count: 1, demand: { accelerators: 1, milliCores: 1_000, memoryMb: 100 } };
const WHOLE_EXECUTOR = { ...STEP, demand: { accelerators: 8, milliCores: 1_000, memoryMb: 100 } };
/** Later than any incarnation of the executors. */
const LATER_BORN = 1_900_000_000_000;

interface Case {
    readonly name: string;
    readonly heartbeat: Partial<ExecutorInfo>;
}

const CASES: readonly Case[] = [
    { name: "another id at the same address", heartbeat: { executorId: "x-9", born: LATER_BORN, service: "other" } },
    { name: "another id and the service of the queue", heartbeat: { executorId: "x-9", born: LATER_BORN } },
    { name: "the same id, a later incarnation", heartbeat: { born: LATER_BORN, service: "other" } },
    { name: "the same id, a later incarnation elsewhere", heartbeat: { born: LATER_BORN, address: "nowhere:1" } },
    { name: "the same incarnation elsewhere", heartbeat: { address: "nowhere:1" } },
];

// Guards against a second run of a task because a heartbeat names the address or the id of the executor that runs it,
// and against an executor that gets no work after it.
for (const { name, heartbeat } of CASES) {
    void t.test(`a heartbeat that no executor confirms changes nothing: ${name}`, async t => {
        const deployment = new Deployment(["e1"], ["x1", "x2"]);
        await deployment.advance(5 * SECOND);
        await deployment.putJob("a", [STEP], { runMs: 6 * SECOND });
        await deployment.advance(SECOND);
        const vm = deployment.runs[0]?.executorId ?? "";
        deployment.announceForeign(vm, heartbeat);
        await deployment.advance(3 * SECOND);
        t.equal(deployment.runs.length, 1, "runs while the first one goes on");
        await deployment.advance(5 * SECOND);
        t.equal(deployment.outcome("a"), "completed");
        await deployment.putJob("b", [{ ...WHOLE_EXECUTOR, count: 2 }], { runMs: SECOND });
        await deployment.advance(3 * SECOND);
        t.equal(deployment.outcome("b"), "completed", "work for all executors");
        t.equal(deployment.runs.length, 3);
    });
}
