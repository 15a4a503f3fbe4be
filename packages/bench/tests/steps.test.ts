import { groupBy } from "@persimmonpitch/dispatch/groupBy.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import { createHash } from "node:crypto";
import t from "tap";
import { runSteps } from "../src/stepsBench.js";
import { claimsOf, earnedBy, type JobClaim } from "../src/stepsJudgement.js";
import { stepsDeploymentSchema } from "../src/stepsProfile.js";
import { lateGuarantees } from "../src/stepsRules.js";
import { scoreDay } from "../src/stepsScore.js";
import { makeDay } from "../src/stepsTrace.js";
import { daySchema } from "../src/stepsTraceSchema.js";

t.formatSnapshot = formatSnapshot;

const SEEDS = [1, 2];

for (const deployment of stepsDeploymentSchema.options) {
    // Guards against a change of the generator that makes figures of earlier runs incomparable without being noticed.
    void t.test(`the day of ${deployment} is valid and depends on nothing but its seed`, t => {
        const day = makeDay(deployment, 1, "fault");
        t.same(daySchema.parse(day), day);
        t.same(makeDay(deployment, 1, "fault"), day);
        const digest = createHash("sha256").update(JSON.stringify(day)).digest("hex");
        const queues = [...groupBy(day.jobs, ({ job }) => job.queue)].map(([queue, jobs]) => [queue, jobs.length]);
        const claims = claimsOf(day);
        t.matchSnapshot({ digest, queues, claims: claims.length, first: claims[0] });
        t.end();
    });

    // Guards against hidden state in the replay, starts beyond a capacity (the replay throws) and late guaranteed starts.
    void t.test(`replays of ${deployment} keep the rules and give the same measures every time`, t => {
        for (const seed of SEEDS) {
            const runs = runSteps(deployment, seed);
            t.strictSame(runs.map(run => run.lateGuarantees), [[], []], `seed ${seed}`);
            t.strictSame(runSteps(deployment, seed), runs);
        }
        t.end();
    });
}

const claim = (jobId: string, change: Partial<JobClaim> = {}): JobClaim => ({
    ...{ jobId, queue: "renders", team: "weavers", acceptedAt: 0, work: 1, worth: 4, lateWorth: 0.8 },
    ...{ onTimeBy: 1_000, lateBy: 3_000 },
    ...change,
});

// Guards against work that earns after its time or nothing in time.
void t.test("a job earns by when it is completed", t => {
    const times = [1_000, 1_001, 3_000, 3_001, undefined];
    t.strictSame(times.map(time => earnedBy(claim("a"), time)), [4, 0.8, 0.8, 0, 0]);
    t.end();
});

// Guards against a part of the score that is counted for the wrong jobs.
void t.test("the parts of a score count windows, queues and teams", t => {
    const claims = [
        claim("onTime"),
        claim("late", { acceptedAt: 5_000, onTimeBy: 6_000, lateBy: 8_000, team: "dyers" }),
        claim("missed", { acceptedAt: 9_000, onTimeBy: 10_000, lateBy: 12_000, queue: "batches" }),
    ];
    const records = new Map([["onTime", { endedAt: 900 }], ["late", { endedAt: 7_000 }]]);
    const costs = { starts: 3, stops: 1, lostCoreSeconds: 10 };
    t.matchSnapshot(
        stepsDeploymentSchema.options.map(deployment => scoreDay(deployment, claims, { records, costs })),
    );
    t.end();
});

// Guards against a check of guarantees that nothing can fail.
void t.test("an urgent job that starts after its time is found", t => {
    const day = makeDay("cooperative", 1, "busy");
    const [first] = day.jobs.filter(({ job }) => job.queue === "renders");
    const jobs = first === undefined ? [] : [first];
    const single = { ...day, jobs, teams: day.teams.map(team => ({ ...team, guaranteedAccelerators: 88 })) };
    const jobId = first?.job.jobId ?? "";
    const costs = { starts: 0, stops: 0, lostCoreSeconds: 0 };
    const startAfter = (waitedMs: number) => ({
        records: new Map([[jobId, { firstStepAt: (first?.job.acceptedAt ?? 0) + waitedMs }]]),
        costs,
    });
    t.equal(lateGuarantees(single, startAfter(2_900)).length, 0);
    t.equal(lateGuarantees(single, startAfter(2_950)).length, 1);
    t.equal(lateGuarantees(single, { records: new Map(), costs }).length, 1);
    t.end();
});
