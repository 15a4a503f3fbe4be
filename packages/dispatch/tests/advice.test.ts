import { queueSchema } from "@persimmonpitch/workload/clusterConfig.js";
import t from "tap";
import { dispatchPass } from "../src/dispatchPass.js";
import type { JobView } from "../src/dispatchView.js";
import { NEVER_ASKED, stepsNeedingAdvice } from "../src/stepsNeedingAdvice.js";
import type { JobInput, StepInput } from "./dispatchFixture.js";
import { executorsOf, jobOf, linesOf, placedOn, QUEUES, runOf, START, viewOf } from "./dispatchFixture.js";

t.formatSnapshot = value => String(value);

const advice = { decisionMs: 100, perExecutorMs: 10, validityMs: 3_000 };
const advisedJob = (input: JobInput, priority = 1): JobView => ({
    ...jobOf(input),
    queue: queueSchema.parse({ ...QUEUES.batch, name: `advised ${priority}`, priority, advice }),
});

// Guards against a start on an executor without a ticket, against jobs of equal demand that share one set of executors
// although their tickets differ, and against the start of a step without advice.
void t.test("a step starts only on executors with a ticket", t => {
    const jobs = [
        advisedJob({ id: "asked", steps: [{ count: 3 }] }),
        advisedJob({ id: "other", steps: [{ count: 3 }] }),
        advisedJob({ id: "refused", steps: [{}] }),
        advisedJob({ id: "unasked", steps: [{}] }),
        jobOf({ id: "free", steps: [{}] }),
    ];
    const view = viewOf(jobs, executorsOf(3), {
        advised: new Map([
            ["asked.0.0", new Set(["executor2"])],
            ["other.0.0", new Set(["executor1"])],
            ["refused.0.0", new Set()],
        ]),
    });
    t.matchSnapshot(linesOf(dispatchPass(view)).join("\n"));
    t.end();
});

// Guards against advice requested for steps of queues that need none or for steps that cannot start soon, and against
// busy executors that come before free ones.
void t.test("the steps that need advice are ordered by urgency", t => {
    const jobs = [
        advisedJob({ id: "late", acceptedAt: START + 10, steps: [{ count: 2 }, { after: [0] }] }),
        advisedJob({ id: "tried", steps: [{ count: 2 }] }),
        advisedJob({ id: "early", steps: [{ count: 2, requiredLabel: "dye" }] }),
        advisedJob({ id: "urgent", steps: [{ demand: { accelerators: 8 } }] }, 0),
        advisedJob({ id: "large", steps: [{ demand: { accelerators: 9 } }] }),
        advisedJob({ id: "chain", steps: [{}, { after: [0] }, { after: [1] }], tasks: placedOn(0, "0.0.0") }),
        jobOf({ id: "free", steps: [{}] }),
    ];
    const executors = executorsOf(3, index => ({
        labels: index === 0 ? ["dye"] : [],
        runs: index === 0 ? [runOf("chain", "0.0.0")] : [],
        takesWork: index !== 2,
    }));
    const demands = stepsNeedingAdvice(
        viewOf(jobs, executors),
        step => step === "tried.0.0" ? { calls: 1, lastAskedAt: START } : NEVER_ASKED,
    );
    t.matchSnapshot(
        demands.map(({ name, waiting, candidates }) =>
            `${name} ${waiting}: ${candidates().map(({ executorId, slots }) => `${executorId} ${slots}`).join(", ")}`
        ).join("\n"),
    );
    t.end();
});

const WHOLE_EXECUTOR = { accelerators: 8 };

// Guards against calls for work that no answer lets start, as a lasting task that it may not preempt holds its room, and
// against work that may preempt that task, or waits for a task that ends, and is not asked about.
void t.test("only steps that can get enough room need advice", t => {
    const gang: StepInput = { count: 3, isGang: true, demand: WHOLE_EXECUTOR };
    const running = (step: StepInput, priority: number): JobView =>
        advisedJob({ id: "running", steps: [step], tasks: placedOn(0, "0.0.0") }, priority);
    const waiting = [
        advisedJob({ id: "guaranteed", team: "weavers", steps: [gang] }, 0),
        advisedJob({ id: "urgent", steps: [gang] }, 0),
        advisedJob({ id: "other", steps: [gang] }, 1),
        advisedJob({ id: "single", steps: [{ demand: WHOLE_EXECUTOR }] }, 1),
        advisedJob({ id: "limited", steps: [{ count: 3, isGang: true, maxPerExecutor: 1 }] }, 1),
        advisedJob({ id: "too large", steps: [{ ...gang, count: 4 }] }, 1),
    ];
    const executors = executorsOf(3, index => ({ runs: index === 0 ? [runOf("running", "0.0.0")] : [] }));
    const namesBeside = (step: StepInput, priority: number): string =>
        stepsNeedingAdvice(viewOf([running(step, priority), ...waiting], executors), () => NEVER_ASKED)
            .map(({ jobId }) => jobId)
            .join(", ");
    const lasting = { isLongRunning: true };
    t.matchSnapshot(
        [
            `lasting, priority 0: ${namesBeside(lasting, 0)}`,
            `lasting, priority 1: ${namesBeside(lasting, 1)}`,
            `ends, priority 0: ${namesBeside({}, 0)}`,
        ].join("\n"),
    );
    t.end();
});
