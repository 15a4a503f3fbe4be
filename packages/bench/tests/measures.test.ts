import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import t from "tap";
import { sampleFragmentation } from "../src/fragmentation.js";
import { feasibleJobs, meanCompletionBound } from "../src/lowerBound.js";
import { jainIndex, measure, measureFragmentation, summarize } from "../src/measures.js";
import { measuresSchema } from "../src/measuresSchema.js";
import { comparedPolicies, POLICIES } from "../src/policies.js";
import { replay } from "../src/replay.js";
import { ReplayCluster } from "../src/replayCluster.js";
import { makeTrace } from "../src/trace.js";
import { gangShape, makeDeployment } from "../src/traceDeployments.js";
import { makeHandTrace, SECOND_MS } from "./handMadeTrace.js";

t.formatSnapshot = formatSnapshot;

const { vms } = makeDeployment("cooperative");
const size = { cores: 128, memoryMb: 512 * 1_024 };

/** The Cooperative with 4 of 8 accelerators taken on each VM of the first rack, and all others taken whole. */
const halfFreeRack = () => {
    const cluster = new ReplayCluster(vms);
    for (const { id, rack } of vms) {
        const accelerators = rack === "r0" ? 4 : 8;
        cluster.take(id, [{ vmId: id, accelerators }], gangShape(size, 1, accelerators, "vm"));
    }
    return cluster.views();
};

// Guards against a wrong count of free accelerators that fit a shape.
t.matchSnapshot(
    ([[1, 1, "vm"], [1, 4, "vm"], [1, 8, "vm"], [3, 4, "rack"], [2, 4, "rack"], [4, 4, "any"]] as const).map(
        ([members, accelerators, adjacency]) => {
            const shape = gangShape(size, members, accelerators, adjacency);
            const sample = sampleFragmentation(halfFreeRack(), [{ shape, gangs: 1 }]);
            return `${members}x${accelerators} ${adjacency}: ${JSON.stringify(sample)}`;
        },
    ),
    "fragmentation of twelve free accelerators, four on each VM of a rack",
);

// Guards against a fragmentation that is not weighted by time, or by the free accelerators.
void t.test("fragmentation is the ratio of two integrals over time", t => {
    const samples = [
        { at: 0, untilAt: 10, free: 10, unusable: 5, scattered: 0 },
        { at: 10, untilAt: 40, free: 20, unusable: 0, scattered: 0 },
    ];
    t.same(measureFragmentation(samples, 100), { fragmentation: 50 / 700, scatter: 0, unusableShare: 50 / 4_000 });
    t.end();
});

// Guards against swapped percentiles, and an index of fairness outside 1/n to 1.
void t.test("times and fairness of hand-made values", t => {
    t.matchSnapshot(summarize(Array.from({ length: 100 }, (_, index) => (index + 1) * 10)));
    t.matchSnapshot(summarize([]));
    t.same([jainIndex([2, 2, 2, 2]), jainIndex([1, 0, 0, 0]), jainIndex([])], [1, 0.25, 1]);
    t.end();
});

// Guards against late jobs that are missed, or that are blamed on the policy although no schedule meets the time.
void t.test("late jobs count as feasible only if the oracle meets their needed-by time", t => {
    const whole = { vms: 11, acceleratorsPerVm: 8 };
    const trace = makeHandTrace([
        { jobId: "blocks", gang: whole },
        { jobId: "feasible", gang: whole, spec: { neededBy: 150 * SECOND_MS } },
        { jobId: "impossible", gang: whole, spec: { neededBy: 50 * SECOND_MS } },
    ]);
    const feasible = feasibleJobs(trace);
    t.same([...feasible], ["feasible"]);
    t.same(measure(replay(trace, POLICIES.fifoFirstFit), feasible).neededBy, {
        count: 2,
        feasible: 1,
        late: 2,
        lateFeasible: 1,
    });
    t.end();
});

// Guards against a head-of-queue wait that is not measured, or is held against the wrong bound.
void t.test("a large gang waits no longer than work that cannot be stopped", t => {
    const trace = makeHandTrace([
        {
            jobId: "fixed",
            spec: { idempotent: false },
            trueRunMs: 30 * SECOND_MS,
            gang: { vms: 6, acceleratorsPerVm: 8 },
        },
        { jobId: "borrower", trueRunMs: 90 * SECOND_MS, gang: { vms: 5, acceleratorsPerVm: 8 } },
        { jobId: "gang", submitAt: SECOND_MS, gang: { vms: 11, acceleratorsPerVm: 8 } },
    ]);
    t.matchSnapshot(replay(trace, POLICIES.fifoFirstFit).headWaits);
    t.end();
});

for (const deployment of ["cooperative", "lentesud"] as const) {
    // Guards against unnoticed changes of the replay or the measures, and a lower bound above a measured mean.
    void t.test(`measures of the baselines on a short trace of ${deployment}`, t => {
        const trace = makeTrace({ deployment, seed: 11, hours: 0.5 });
        const feasible = feasibleJobs(trace);
        for (const name of comparedPolicies().filter(policy => policy !== "persimmonpitch")) {
            const result = replay(trace, POLICIES[name]);
            const measures = measure(result, feasible);
            t.matchSnapshot(measuresSchema.parse(measures), name);
            t.ok(meanCompletionBound(result) <= measures.completion.meanMs, `${name} is above its lower bound`);
        }
        t.end();
    });
}
