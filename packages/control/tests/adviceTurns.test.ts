import { MemoryAdvice } from "@persimmonpitch/standins/memoryAdvice.js";
import type { Queue } from "@persimmonpitch/workload/clusterConfig.js";
import { queueSchema } from "@persimmonpitch/workload/clusterConfig.js";
import t from "tap";
import { Deployment } from "./deploymentFixture.js";

const SECOND = 1_000;
const POLICY = { decisionMs: 100, perExecutorMs: 10, validityMs: 3_000 };
const EXECUTORS = Array.from({ length: 8 }, (_, index) => `x${index + 1}`);
/** How long a job may have nothing running while there is room for it. */
const IDLE_MS = 3_000;
const SMALL_RUN_MS = 1_000;
const LONG_RUN_MS = 60_000;

/** The queue with the given priority, which requires advice. */
const advisedQueue = (priority: number): Queue =>
    queueSchema.parse({
        name: `advised ${priority}`,
        host: "q.example",
        pathPrefix: "/",
        service: "steps",
        priority,
        maxAttempts: 2,
        slackFactor: 3,
        targetLatencyMs: 0,
        isPublic: true,
        advice: POLICY,
    });

const putAdvised = async (
    deployment: Deployment,
    id: string,
    step: object,
    { runMs, priority }: { readonly runMs: number; readonly priority: number; },
): Promise<void> => {
    const queue = advisedQueue(priority);
    await deployment.putJob(id, [step], { runMs }, "test", { queue: queue.name, acceptedQueue: queue });
};

const demandOf = (accelerators: number) => ({ milliCores: 1_000, memoryMb: 0, accelerators });

const GANG = { count: EXECUTORS.length, isGang: true, demand: demandOf(8), declaredMs: SECOND };
const UNPLACEABLE = { count: 1, requiredLabel: "missing", demand: demandOf(1), declaredMs: SECOND };

interface Case {
    readonly guardsAgainst: string;
    /** Work on one executor, of which it takes half. */
    readonly running: object;
    /** Step of the jobs that come before the small job and cannot start. */
    readonly blocked: object;
    readonly blockedCount: number;
    readonly blockedPriority: number;
    readonly smallPriority: number;
}

const LASTING = { count: 1, demand: demandOf(4), isLongRunning: true };
/** Unlike a lasting task, it ends, so gangs have to be asked about in time for their start. */
const LONG = { count: 1, demand: demandOf(4), declaredMs: LONG_RUN_MS };
const BLOCKED_GANGS = { blocked: GANG, blockedPriority: 0, smallPriority: 2 };

const CASES: readonly Case[] = [
    {
        guardsAgainst: "gangs beside a lasting task use every call",
        running: LASTING,
        blockedCount: 14,
        ...BLOCKED_GANGS,
    },
    { guardsAgainst: "gangs beside a long task use every call", running: LONG, blockedCount: 14, ...BLOCKED_GANGS },
    { guardsAgainst: "many gangs use every call", running: LONG, blockedCount: 30, ...BLOCKED_GANGS },
    {
        guardsAgainst: "jobs that no executor can run leave no step to ask about",
        running: LASTING,
        blocked: UNPLACEABLE,
        blockedCount: 80,
        blockedPriority: 1,
        smallPriority: 1,
    },
];

const deploymentOf = (executors: readonly string[]): Deployment =>
    new Deployment(["n1", "n2"], executors, {
        policy: POLICY,
        advice: clock => new MemoryAdvice({ clock, policy: POLICY, isAllowed: () => true }),
    });

// Guards against accepted work that fits on idle executors and never gets advice, because blocked work of better rank
// is asked about again and again.
for (const { guardsAgainst, running, blocked, blockedCount, blockedPriority, smallPriority } of CASES) {
    void t.test(guardsAgainst, async t => {
        const deployment = deploymentOf(EXECUTORS);
        await deployment.advance(5 * SECOND);
        await putAdvised(deployment, "running", running, { runMs: LONG_RUN_MS, priority: 0 });
        await deployment.advance(3 * SECOND);
        for (let index = 0; index < blockedCount; index += 1) {
            await putAdvised(deployment, `blocked${index}`, blocked, { runMs: SECOND, priority: blockedPriority });
        }
        await deployment.advance(SECOND);
        const small = { count: 1, demand: demandOf(1), declaredMs: SMALL_RUN_MS };
        await putAdvised(deployment, "small", small, { runMs: SMALL_RUN_MS, priority: smallPriority });
        await deployment.advance(IDLE_MS + SMALL_RUN_MS);
        t.equal(deployment.outcome("small"), "completed");
    });
}

const MANY_EXECUTORS = Array.from({ length: 70 }, (_, index) => `x${index + 1}`);
const LARGE_GANG = { ...GANG, count: 64 };
const LARGE_GANGS = 6;

// Guards against gangs that never start on idle executors because the tickets of their members, which come from several
// calls, are not valid at one time while other steps get calls between them.
void t.test("gangs of more members than a usual call names start one after the other", async t => {
    const deployment = deploymentOf(MANY_EXECUTORS);
    await deployment.advance(5 * SECOND);
    const names = Array.from({ length: LARGE_GANGS }, (_, index) => `gang${index}`);
    for (const name of names) {
        await putAdvised(deployment, name, LARGE_GANG, { runMs: SECOND, priority: 1 });
    }
    await deployment.advance(LARGE_GANGS * (IDLE_MS + SECOND));
    t.strictSame(names.map(name => deployment.outcome(name)), names.map(() => "completed"));
});
