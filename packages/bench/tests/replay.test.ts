import type { ClusterView } from "@persimmonpitch/placement/clusterView.js";
import type { PlacementDecisions } from "@persimmonpitch/placement/placementDecisions.js";
import type { GangMember } from "@persimmonpitch/schema/job.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import t from "tap";
import { POLICIES } from "../src/policies.js";
import { replay } from "../src/replay.js";
import { ReplayError } from "../src/replayCluster.js";
import type { TraceFault } from "../src/traceSchema.js";
import type { JobInput } from "./handMadeTrace.js";
import { makeHandTrace, policyOf, SECOND_MS } from "./handMadeTrace.js";

t.formatSnapshot = formatSnapshot;

const on = (accelerators: number, ...vmIds: string[]): GangMember[] => vmIds.map(vmId => ({ vmId, accelerators }));

const startAll = (members: readonly GangMember[]) => ({ queued }: ClusterView): Partial<PlacementDecisions> => ({
    starts: queued.map(({ jobId }) => ({ jobId, members })),
});

const rackGang = { vms: 2, acceleratorsPerVm: 8, adjacency: "rack" };

interface Violation {
    readonly what: string;
    readonly jobs: readonly JobInput[];
    readonly faults?: readonly TraceFault[];
    readonly decide: (view: ClusterView) => Partial<PlacementDecisions>;
}

const VIOLATIONS: readonly Violation[] = [
    {
        what: "two jobs on the same accelerators",
        jobs: [{ jobId: "a", gang: { acceleratorsPerVm: 5 } }, { jobId: "b", gang: { acceleratorsPerVm: 5 } }],
        decide: startAll(on(5, "w0")),
    },
    { what: "part of a gang", jobs: [{ jobId: "a", gang: rackGang }], decide: startAll(on(8, "w0")) },
    { what: "two members on one VM", jobs: [{ jobId: "a", gang: rackGang }], decide: startAll(on(8, "w0", "w0")) },
    { what: "too few accelerators", jobs: [{ jobId: "a", gang: rackGang }], decide: startAll(on(4, "w0", "w1")) },
    { what: "a gang over two racks", jobs: [{ jobId: "a", gang: rackGang }], decide: startAll(on(8, "w2", "w3")) },
    {
        what: "more processors than there are",
        jobs: [{ jobId: "a", gang: { coresPerVm: 129 } }],
        decide: startAll(on(1, "w0")),
    },
    { what: "an unknown VM", jobs: [{ jobId: "a" }], decide: startAll(on(1, "none")) },
    {
        what: "a lost VM",
        jobs: [{ jobId: "a", submitAt: 10 }],
        faults: [{ kind: "vmsLost", at: 0, vmIds: ["w0"] }],
        decide: startAll(on(1, "w0")),
    },
    { what: "an unknown job", jobs: [{ jobId: "a" }], decide: () => ({ starts: [{ jobId: "b", members: [] }] }) },
    {
        what: "a job that runs already",
        jobs: [{ jobId: "a" }, { jobId: "b", submitAt: 500 }],
        decide: () => ({ starts: [{ jobId: "a", members: on(1, "w0") }] }),
    },
    {
        what: "preemption of work that cannot be stopped",
        jobs: [{ jobId: "a", spec: { idempotent: false } }, { jobId: "b", submitAt: 500 }],
        decide: view => ({
            ...startAll(on(1, "w0"))(view),
            preemptions: view.placed.map(({ jobId }) => ({ jobId, forJobId: "b" })),
        }),
    },
    {
        what: "refusal of a running job",
        jobs: [{ jobId: "a" }, { jobId: "b", submitAt: 500 }],
        decide: view => ({
            ...startAll(on(1, "w0"))(view),
            refusals: view.placed.map(({ jobId }) => ({ jobId, reason: "neverFits", detail: "" })),
        }),
    },
];

for (const { what, jobs, faults, decide } of VIOLATIONS) {
    // Guards against a replay that lets a policy break an invariant and then reports good figures for it.
    void t.test(`the replay throws on ${what}`, t => {
        const run = () => replay(makeHandTrace(jobs, faults), policyOf(decide));
        t.throws(run, ReplayError);
        try {
            run();
        }
        catch (err) {
            t.matchSnapshot(String(err));
        }
        t.end();
    });
}

interface Course {
    readonly what: string;
    readonly jobs: readonly JobInput[];
    readonly faults?: readonly TraceFault[];
    /** Preempt every running job when a job of this id waits. */
    readonly preemptFor?: string;
}

const MINUTE_MS = 60 * SECOND_MS;

const COURSES: readonly Course[] = [
    { what: "a job that finishes", jobs: [{ jobId: "a" }] },
    {
        what: "preemption with a checkpoint",
        jobs: [{ jobId: "a", spec: { checkpointable: true } }, { jobId: "b", submitAt: 40 * SECOND_MS }],
        preemptFor: "b",
    },
    {
        what: "preemption without a checkpoint",
        jobs: [{ jobId: "a" }, { jobId: "b", submitAt: 40 * SECOND_MS }],
        preemptFor: "b",
    },
    {
        what: "a job that finishes within the grace",
        jobs: [{ jobId: "a" }, { jobId: "b", submitAt: 99 * SECOND_MS }],
        preemptFor: "b",
    },
    {
        what: "cancellation while waiting, while running and after the end",
        jobs: [
            { jobId: "a", gang: { acceleratorsPerVm: 8 }, cancelAt: 50 * SECOND_MS },
            { jobId: "b", gang: { vms: 11, acceleratorsPerVm: 8 }, cancelAt: 20 * SECOND_MS },
            { jobId: "c", cancelAt: 200 * SECOND_MS, submitAt: 30 * SECOND_MS },
        ],
    },
    {
        what: "a lost VM: checkpoint each 10 min, from the start, and not idempotent",
        jobs: [
            { jobId: "a", trueRunMs: 30 * MINUTE_MS, spec: { checkpointable: true } },
            { jobId: "b", trueRunMs: 30 * MINUTE_MS },
            { jobId: "c", trueRunMs: 30 * MINUTE_MS, spec: { idempotent: false } },
        ],
        faults: [
            { kind: "vmsLost", at: 15 * MINUTE_MS, vmIds: ["w0"] },
            { kind: "vmsBack", at: 16 * MINUTE_MS, vmIds: ["w0"] },
        ],
    },
    {
        what: "a worker that fails every task, and a job that fails on every worker",
        jobs: [
            { jobId: "a" },
            { jobId: "b", spec: { idempotent: false } },
            { jobId: "c", failsAlways: true },
        ],
        faults: [
            { kind: "workerFailing", at: 0, vmIds: ["w0"] },
            { kind: "workerRepaired", at: 20 * SECOND_MS, vmIds: ["w0"] },
        ],
    },
    {
        what: "a store outage: idempotent jobs start, others and new ones wait",
        jobs: [
            { jobId: "a", gang: { vms: 11, acceleratorsPerVm: 8 } },
            { jobId: "b", submitAt: SECOND_MS },
            { jobId: "c", submitAt: 2 * SECOND_MS, spec: { idempotent: false } },
            { jobId: "d", submitAt: 120 * SECOND_MS },
        ],
        faults: [{ kind: "storeDown", at: 50 * SECOND_MS }, { kind: "storeUp", at: 300 * SECOND_MS }],
    },
    {
        what: "urgent jobs within and beyond the guarantee of the team",
        jobs: [
            { jobId: "a", spec: { workClass: "urgent" }, gang: rackGang },
            { jobId: "b", spec: { workClass: "urgent" }, gang: rackGang },
        ],
    },
];

for (const { what, jobs, faults, preemptFor } of COURSES) {
    // Guards against wrong accounting of progress, lost work, answers and waiting in the replay itself.
    void t.test(`the replay handles ${what}`, t => {
        const policy = policyOf(view => ({
            ...POLICIES.anyFirstFit.pass(view, {}),
            preemptions: view.queued.some(({ jobId }) => jobId === preemptFor)
                ? view.placed.map(({ jobId }) => ({ jobId, forJobId: preemptFor ?? "" }))
                : [],
        }));
        const result = replay(makeHandTrace(jobs, faults), policy);
        t.matchSnapshot({
            jobs: result.jobs.map(({ trace, ...rest }) => ({ jobId: trace.jobId, ...rest })),
            heldSeconds: result.heldTime / SECOND_MS,
            lostToPreemptionSeconds: result.lostToPreemption / SECOND_MS,
            lostToFaultsSeconds: result.lostToFaults / SECOND_MS,
        });
        t.end();
    });
}

// Guards against passes that come more often than the design page allows.
void t.test("passes are at least 50 ms apart", t => {
    const jobs = Array.from({ length: 40 }, (_, index) => ({ jobId: `j${index}`, submitAt: index * 7 }));
    const passes: number[] = [];
    replay(
        makeHandTrace(jobs),
        policyOf(view => {
            passes.push(view.now);
            return POLICIES.anyFirstFit.pass(view, {});
        }),
    );
    const gaps = passes.slice(1).map((at, index) => at - (passes[index] ?? 0));
    t.ok(gaps.every(gap => gap >= 50), JSON.stringify(gaps));
    t.equal(passes.length, new Set(passes).size);
    t.end();
});
