import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { encodeProgress } from "@persimmonpitch/workload/progressRow.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import t from "tap";
import { Fleet } from "../src/fleet.js";
import { JobBook } from "../src/jobBook.js";
import { Replica } from "../src/replica.js";

const ADDRESS = "10.0.0.1:8080";

interface Case {
    readonly name: string;
    readonly vm: string;
    readonly address: string;
    readonly born: number;
    readonly isLost: boolean;
}

const CASES: readonly Case[] = [
    { name: "newer at the same address", vm: "worker-1", address: ADDRESS, born: 200, isLost: true },
    { name: "older at the same address", vm: "worker-1", address: ADDRESS, born: 50, isLost: false },
    { name: "newer at another address", vm: "worker-1", address: "10.0.0.1:8081", born: 200, isLost: false },
    { name: "newer on another VM", vm: "worker-2", address: ADDRESS, born: 200, isLost: false },
];

const fleetWithInheritedRun = (): Fleet => {
    const job = stepJobSchema.parse({
        jobId: "a",
        queue: "batch",
        payload: "",
        steps: [{ count: 1, demand: {} }],
        acceptedAt: 0,
    });
    const placement = { vm: "worker-1", executorId: "old", born: 100, address: ADDRESS };
    const progress = encodeProgress({
        outcome: "open",
        tasks: { "0.0.0": { run: 1, placement, failures: 0, isDone: false } },
    });
    const replica = new Replica(silentLogger);
    replica.apply([
        { key: "job/a", value: JSON.stringify(job), version: 1 },
        { key: "run/a", value: progress, version: 2 },
    ]);
    return new Fleet({
        jobs: new JobBook(replica, silentLogger),
        clock: new FakeClock(),
        logger: silentLogger,
        maxAttempts: () => 1,
        onChanged: () => undefined,
    });
};

// Guards against work that waits for the longest lease after its executor came back under another id, and against
// work that is started twice because an executor that still runs is taken as replaced.
void t.test("what ran on an executor is lost when a newer one listens at its address", t => {
    for (const { name, vm, address, born, isLost } of CASES) {
        const fleet = fleetWithInheritedRun();
        const newer = fleet.executor(vm, "new");
        newer.address = address;
        newer.born = born;
        fleet.loseReplaced(newer);
        t.equal(fleet.executors.get("old")?.runs.size, isLost ? 0 : 1, name);
    }
    t.end();
});
