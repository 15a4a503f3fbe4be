import { createHash } from "node:crypto";
import t from "tap";
import { seededRandom } from "../src/random.js";
import { makeTrace } from "../src/trace.js";
import type { Trace } from "../src/traceSchema.js";
import { deploymentNameSchema, traceSchema } from "../src/traceSchema.js";
import { makeRenderTraces } from "../src/traceSingleTargets.js";

const digest = (trace: Trace): string => createHash("sha256").update(JSON.stringify(trace)).digest("hex");

const countBy = (keys: readonly string[]): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const key of keys) {
        counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
};

// Guards against a change of the generator that makes figures of earlier runs incomparable without being noticed.
void t.test("a seed always gives the same numbers", t => {
    const random = seededRandom(7);
    t.matchSnapshot([random.uniform(), random.exponential(10), random.logNormal(10, 1), random.pick(["a", "b", "c"])]);
    t.end();
});

for (const deployment of deploymentNameSchema.options) {
    // Guards against hidden state or wall time in the generator, and against jobs that no caller could submit.
    void t.test(`the trace of ${deployment} is valid and depends on nothing but its options`, t => {
        const trace = makeTrace({ deployment, seed: 3, hours: 2 });
        t.equal(digest(trace), digest(makeTrace({ deployment, seed: 3, hours: 2 })));
        t.not(digest(trace), digest(makeTrace({ deployment, seed: 4, hours: 2 })));
        t.same(traceSchema.parse(trace), trace);
        t.matchSnapshot({
            digest: digest(trace),
            classes: countBy(trace.jobs.map(({ spec }) => spec.workClass)),
            faults: countBy(trace.faults.map(({ kind }) => kind)),
            cancelled: trace.jobs.filter(({ cancelAt }) => cancelAt !== undefined).length,
            failsAlways: trace.jobs.filter(({ failsAlways }) => failsAlways).length,
            tooLarge: trace.jobs.filter(({ spec: { gang } }) => gang.adjacency === "rack" && gang.vms > 3).length,
        });
        t.end();
    });
}

// Guards against declared run times that are too good: the policies must cope with errors of a factor of 4.
void t.test("a quarter of the declared run times are wrong by more than a factor of 4", t => {
    const { jobs } = makeTrace({ deployment: "cooperative", seed: 5, hours: 4 });
    const errors = jobs.map(({ spec, trueRunMs }) => Math.abs(Math.log(spec.declaredRunMs / trueRunMs)));
    const share = errors.filter(error => error > Math.log(4)).length / errors.length;
    t.ok(share > 0.25 && share < 0.45, `share ${share}`);
    t.end();
});

// Guards against a comparison of different renders: both traces must hold the same ones.
void t.test("the render traces differ only in batches and previews", t => {
    const { alone, saturated } = makeRenderTraces(2, 1);
    t.same(alone.jobs, saturated.jobs.filter(({ spec }) => spec.workClass === "interactive"));
    t.matchSnapshot(countBy(saturated.jobs.map(({ spec }) => spec.workClass)));
    t.end();
});
