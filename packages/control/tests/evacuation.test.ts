import type { Millis } from "@persimmonpitch/clock/clock.js";
import t from "tap";
import type { DeploymentOptions } from "./deploymentFixture.js";
import { Deployment } from "./deploymentFixture.js";
import { ruleViolations } from "./ruleViolations.js";

t.formatSnapshot = value => String(value);

const SECOND = 1_000;
/** Longer than any lease, so that a start that was held up would have taken effect. */
const OBSERVED_MS: Millis = 30_000;

const NODES = ["n1", "n2", "n3"];
const DATA_CENTRES = { x1: "west", x2: "east", x3: "east" };
const demand = { milliCores: 1_000, memoryMb: 0, accelerators: 4 };
const WHOLE = { milliCores: 1_000, memoryMb: 0, accelerators: 8 };

const startDeployment = async (
    nodes: readonly string[] = NODES,
    options: DeploymentOptions = {},
): Promise<Deployment> => {
    const deployment = new Deployment(nodes, Object.keys(DATA_CENTRES), { dataCentres: DATA_CENTRES, ...options });
    await deployment.advance(3 * SECOND);
    return deployment;
};

/** The runs that began on an executor after a time. */
const startsOn = ({ runs }: Deployment, executorId: string, after: Millis): readonly string[] =>
    runs.filter(run => run.executorId === executorId && run.startedAt > after).map(({ task, run }) => `${task}#${run}`);

const eventsOf = ({ logLines }: Deployment, event: string) => logLines.filter(line => line.event === event);

interface EvacuationCase {
    readonly name: string;
    readonly guardsAgainst: string;
    readonly nodes?: readonly string[];
    readonly options?: DeploymentOptions;
    /** Evacuates the data centre of x1 while the starts of job "a" on x1 are held up; they could take effect later. */
    readonly evacuateDuringStart: (deployment: Deployment) => Promise<void>;
}

/** Submits a job that fills the executors, x1 among them, whose orders are held up. */
const submit = async (deployment: Deployment, count: number): Promise<void> => {
    await deployment.putJob("a", [{ count, demand }], { runMs: 1_500, demand });
    await deployment.advance(200);
};

const CASES: readonly EvacuationCase[] = [
    {
        name: "a start in flight",
        guardsAgainst: "a start that the executor carries out after the evacuation",
        evacuateDuringStart: async deployment => {
            deployment.executor("x1").setFaults({ unansweredOrders: 2, orderDelayMs: 1_500 });
            await submit(deployment, 6);
            await deployment.evacuate("west");
            await deployment.advance(300);
            deployment.executor("x1").setFaults({ unansweredOrders: 0 });
        },
    },
    {
        name: "a retried start",
        guardsAgainst: "an agent that goes on sending a start",
        evacuateDuringStart: async deployment => {
            deployment.executor("x1").setFaults({ silent: true });
            await submit(deployment, 6);
            await deployment.evacuate("west");
            await deployment.advance(1_000);
            deployment.executor("x1").setFaults({ silent: false });
        },
    },
    {
        name: "a backlog in an agent",
        guardsAgainst: "starts that wait in the agent for a slot and are sent when one is free",
        options: { orderLimits: { starts: 1, stops: 1 } },
        evacuateDuringStart: async deployment => {
            deployment.executor("x1").setFaults({ silent: true });
            await submit(deployment, 6);
            await deployment.evacuate("west");
            await deployment.advance(1_500);
            deployment.executor("x1").setFaults({ silent: false });
        },
    },
    {
        name: "a claim that becomes durable",
        guardsAgainst: "a start that is sent because its claim was decided before the evacuation",
        evacuateDuringStart: async deployment => {
            const process = deployment.process(deployment.controller);
            process.delayAfterClaim("answer");
            await submit(deployment, 6);
            await deployment.evacuate("west");
            await deployment.advance(500);
            process.resume();
        },
    },
    {
        name: "a deferred start",
        guardsAgainst: "a start that waits for the renewal of the term and is sent after it",
        nodes: ["n1"],
        evacuateDuringStart: async deployment => {
            deployment.process("n1").delayAfterClaim("process");
            await submit(deployment, 6);
            await deployment.advance(3_500);
            await deployment.evacuate("west");
            deployment.process("n1").resume();
        },
    },
    {
        name: "a resent start",
        guardsAgainst: "a start that is sent again after the connection to the agent was lost",
        evacuateDuringStart: async deployment => {
            deployment.partitioned.add("x1");
            await submit(deployment, 6);
            await deployment.evacuate("west");
            await deployment.advance(4 * SECOND);
            deployment.partitioned.delete("x1");
        },
    },
    {
        name: "a start of a controller that ended",
        guardsAgainst: "a start that outlives its controller, and a next controller that does not know the evacuation",
        evacuateDuringStart: async deployment => {
            deployment.executor("x1").setFaults({ silent: true });
            await submit(deployment, 6);
            await deployment.evacuate("west");
            deployment.killNode(deployment.controller);
            await deployment.advance(2 * SECOND);
            deployment.executor("x1").setFaults({ silent: false });
        },
    },
    {
        name: "a start of entries that all restart",
        guardsAgainst: "entries that begin to work before they know the evacuation",
        evacuateDuringStart: async deployment => {
            deployment.executor("x1").setFaults({ silent: true });
            await submit(deployment, 6);
            await deployment.evacuate("west");
            NODES.forEach(name => {
                deployment.killNode(name);
            });
            await deployment.advance(500);
            NODES.forEach(name => deployment.startNode(name));
            await deployment.advance(2 * SECOND);
            deployment.executor("x1").setFaults({ silent: false });
        },
    },
    {
        name: "a controller that the store refuses",
        guardsAgainst: "an evacuation that only the other entries hear of",
        evacuateDuringStart: async deployment => {
            deployment.store.setFaults({ silent: [deployment.controller], silenceMs: 1_700 });
            await deployment.evacuate("west");
            await deployment.advance(2 * SECOND);
            await submit(deployment, 6);
        },
    },
    {
        name: "a store that is lost after the evacuation",
        guardsAgainst: "an evacuation that is forgotten while the store does not answer",
        evacuateDuringStart: async deployment => {
            await deployment.evacuate("west");
            await deployment.advance(SECOND);
            deployment.store.setFaults({ down: true });
            await deployment.advance(5 * SECOND);
            deployment.store.setFaults({ down: false });
            await submit(deployment, 6);
        },
    },
    {
        name: "a store that drops its history after the evacuation",
        guardsAgainst: "an evacuation that is forgotten when the table is scanned again",
        evacuateDuringStart: async deployment => {
            await deployment.evacuate("west");
            await deployment.advance(SECOND);
            deployment.store.compact();
            await deployment.advance(SECOND);
            await submit(deployment, 6);
        },
    },
];

for (const { name, guardsAgainst, nodes, options, evacuateDuringStart } of CASES) {
    void t.test(`${name} guards against ${guardsAgainst}`, async t => {
        const deployment = await startDeployment(nodes, options);
        await evacuateDuringStart(deployment);
        const evacuatedAt = deployment.clock.now();
        await deployment.advance(OBSERVED_MS);
        t.same(startsOn(deployment, "x1", evacuatedAt), [], "nothing starts in the evacuated data centre");
        t.equal(deployment.outcome("a"), "completed", "the work is done elsewhere");
        t.same(ruleViolations(deployment), [], "no rule is violated");
        t.matchSnapshot(deployment.trace());
    });
}

// Guards against an evacuation that stops work in progress, also when another controller takes over, and also if the
// executor has only answered the start and not listed the run yet.
void t.test("runs in progress continue", async t => {
    for (const sinceStartMs of [200, 2 * SECOND]) {
        const deployment = await startDeployment();
        await deployment.putJob("a", [{ count: 6, demand }], { runMs: 12_000, demand });
        await deployment.advance(sinceStartMs);
        await deployment.evacuate("west");
        await deployment.advance(2 * SECOND);
        deployment.killNode(deployment.controller);
        await deployment.advance(OBSERVED_MS);
        t.equal(deployment.outcome("a"), "completed");
        t.same(deployment.runs.map(({ run, kind }) => `#${run} ${kind}`), Array.from({ length: 6 }, () => "#1 done"));
        t.same(eventsOf(deployment, "run.stopping"), []);
    }
});

// Guards against a controller that starts work before it has read the rows of the operator.
void t.test("nothing starts until the evacuations are known", async t => {
    const deployment = await startDeployment(["n1"]);
    await deployment.evacuate("west");
    deployment.killNode("n1");
    deployment.withoutOperatorTable.add("n1");
    deployment.startNode("n1");
    await deployment.advance(10 * SECOND);
    t.ok(deployment.epoch > 1, "it has taken the role");
    await deployment.putJob("a", [{ count: 6, demand }], { runMs: 1_000, demand });
    await deployment.advance(5 * SECOND);
    t.same(deployment.runs, []);
    deployment.withoutOperatorTable.delete("n1");
    await deployment.advance(10 * SECOND);
    t.equal(deployment.outcome("a"), "completed");
    t.same(startsOn(deployment, "x1", 0), []);
});

// Guards against a gang of which one member has started and waits for another one that must not start any more: the
// member would hold its executor until the gang is given up.
void t.test("a gang of which one member has not started is stopped as a whole", async t => {
    const deployment = await startDeployment();
    deployment.executor("x1").setFaults({ unansweredOrders: 9, orderDelayMs: 1_500 });
    const gang = { count: 3, isGang: true, demand: WHOLE };
    await deployment.putJob("a", [gang], { runMs: 1_000, gangSize: 3, demand: WHOLE });
    await deployment.advance(200);
    t.same(deployment.runs.map(({ executorId }) => executorId).sort(), ["x2", "x3"], "the members that have started");
    await deployment.evacuate("west");
    await deployment.advance(100);
    deployment.executor("x1").setFaults({ unansweredOrders: 0 });
    const evacuatedAt = deployment.clock.now();
    await deployment.advance(SECOND);
    t.matchSnapshot(deployment.trace(), "a second after the evacuation");
    t.ok(deployment.runs.every(({ endedAt }) => endedAt !== undefined), "no member holds an executor");
    await deployment.advance(OBSERVED_MS);
    t.same(startsOn(deployment, "x1", evacuatedAt), []);
    t.equal(deployment.outcome("a"), "open", "a gang that no longer fits waits");
    await deployment.endEvacuation("west");
    await deployment.advance(5 * SECOND);
    t.equal(deployment.outcome("a"), "completed", "it runs after the evacuation");
});

// Guards against a data centre that stays out of use after the row is removed, also if the store dropped its history in
// between so that no follower hears of the removal itself.
void t.test("a data centre returns when its row is removed", async t => {
    for (const isCompacted of [false, true]) {
        const deployment = await startDeployment();
        await deployment.evacuate("west");
        await deployment.advance(2 * SECOND);
        await deployment.putJob("a", [{ count: 6, demand }], { runMs: 8_000, demand });
        await deployment.advance(2 * SECOND);
        t.same(startsOn(deployment, "x1", 0), [], "two tasks wait");
        if (isCompacted) {
            deployment.store.setFaults({ down: true });
            await deployment.advance(500);
            deployment.store.setFaults({ down: false });
        }
        await deployment.endEvacuation("west");
        if (isCompacted) {
            deployment.store.compact();
        }
        await deployment.advance(2 * SECOND);
        t.same(startsOn(deployment, "x1", 0).length, 2, "they start there");
        await deployment.advance(OBSERVED_MS);
        t.equal(deployment.outcome("a"), "completed");
        t.same(eventsOf(deployment, "evacuation.ended").map(({ entry }) => entry).sort(), NODES);
    }
});

// Guards against work that is lost, refused or started in an evacuated data centre when no other one is left.
void t.test("with all data centres evacuated, jobs are accepted and wait", async t => {
    const deployment = await startDeployment();
    await deployment.evacuate("west");
    await deployment.evacuate("east");
    const evacuatedAt = deployment.clock.now();
    await deployment.advance(SECOND);
    await deployment.putJob("a", [{ count: 2, demand }], { runMs: 500, demand });
    await deployment.advance(OBSERVED_MS);
    t.same(deployment.runs.filter(({ startedAt }) => startedAt > evacuatedAt), [], "nothing starts");
    t.ok([...deployment.nodes.values()].every(({ isReady }) => isReady), "the entries serve requesters");
    await deployment.endEvacuation("east");
    await deployment.advance(5 * SECOND);
    t.equal(deployment.outcome("a"), "completed");
    t.same(startsOn(deployment, "x1", evacuatedAt), [], "the other data centre stays evacuated");
});

// Guards against a row with a mistyped data centre that passes unnoticed, or that disturbs others.
void t.test("a row for an unknown data centre concerns no executor and is logged", async t => {
    const deployment = await startDeployment();
    await deployment.evacuate("wset");
    await deployment.evacuate("west");
    await deployment.putJob("a", [{ count: 2, demand }], { runMs: 500, demand });
    await deployment.advance(12 * SECOND);
    t.equal(deployment.outcome("a"), "completed");
    t.match(eventsOf(deployment, "evacuation.unknownDataCentre")[0], { dataCentre: "wset" });
    t.match(eventsOf(deployment, "evacuation.state")[0], { dataCentre: "west", executors: 1, runs: 0 });
});

// Guards against an executor that is reported as cold, but gets work as if it were not.
void t.test("a cold executor gets work only if the others are full", async t => {
    const deployment = await startDeployment();
    ["x2", "x3"].forEach(name => {
        deployment.executor(name).setCold(OBSERVED_MS);
    });
    await deployment.advance(SECOND);
    await deployment.putJob("a", [{ count: 3, demand }], { runMs: 1_000, demand });
    await deployment.advance(SECOND);
    t.same(deployment.runs.map(({ executorId }) => executorId), ["x1", "x1", "x2"]);
    await deployment.advance(2 * SECOND);
    t.equal(deployment.outcome("a"), "completed");
});
