import type { RequestRun, TaskRun } from "@persimmonpitch/backing/runRecord.js";
import { formatFindings } from "@persimmonpitch/findings/finding.js";
import type { HistoryEvent, HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import type { JobRecord } from "@persimmonpitch/schema/job.js";
import t from "tap";
import type { InvariantOptions } from "../src/invariants.js";
import { checkInvariants } from "../src/invariants.js";
import type { RunEvidence, ToldAnswer } from "../src/runEvidence.js";

const OPTIONS: InvariantOptions = { partialGangBoundMs: 100, allowOpen: false, observedUntil: 10_000 };

const record = (subjectId: string, sequence: number, event: HistoryEvent, more: Partial<HistoryRecord> = {}) => ({
    team: "weavers",
    kind: "job" as const,
    subjectId,
    sequence,
    event,
    at: 1_000 + sequence,
    requestKey: `key-${subjectId}`,
    detail: "",
    ...more,
});

const job = (jobId: string, vms: number): JobRecord => ({
    jobId,
    spec: {
        team: "weavers",
        workClass: "batch",
        gang: { vms, acceleratorsPerVm: 2, adjacency: "rack", coresPerVm: 0, memoryMbPerVm: 0 },
        declaredRunMs: 500,
        idempotent: false,
        checkpointable: false,
        requestKey: `key-${jobId}`,
        payload: "",
    },
    state: "finished",
    submittedAt: 0,
    attempts: 1,
    cancelRequested: false,
    failedOn: [],
});

const taskRun = (vmId: string, more: Partial<TaskRun> = {}): TaskRun => ({
    vmId,
    attemptId: "j1.1",
    jobId: "j1",
    devices: [0, 1],
    startedAt: 100,
    endedAt: 600,
    state: "finished",
    result: "template",
    ...more,
});

const requestRun = (more: Partial<RequestRun> = {}): RequestRun => ({
    vmId: "x1",
    attemptId: "r1.1",
    team: "weavers",
    service: "desk",
    startedAt: 100,
    endedAt: 120,
    state: "finished",
    answer: "label",
    ...more,
});

const told = (subjectId: string, more: Partial<ToldAnswer> = {}): ToldAnswer => ({
    team: "weavers",
    requestKey: `key-${subjectId}`,
    ran: "yes",
    ...more,
});

const JOB_EVENTS = [record("j1", 0, "accepted"), record("j1", 1, "claimed"), record("j1", 2, "finished")];
const REQUEST_EVENTS = [record("r1", 0, "finished", { kind: "request", attemptId: "r1.1", ran: "yes" })];

/** A gang of two that finished, and a label that was issued once. */
const TRUE_RUN: RunEvidence = {
    history: [...JOB_EVENTS, ...REQUEST_EVENTS],
    jobs: [job("j1", 2)],
    told: [told("j1", { answer: "template" }), told("r1", { answer: "label", idempotent: false })],
    taskRuns: [taskRun("w1"), taskRun("w2", { startedAt: 150, endedAt: 650 })],
    requestRuns: [requestRun()],
};

const CASES: Readonly<Record<string, Partial<RunEvidence>>> = {
    "a true run": {},
    "accelerator held by two attempts": {
        taskRuns: [
            ...TRUE_RUN.taskRuns,
            taskRun("w1", { jobId: "j2", attemptId: "j2.1", devices: [1], startedAt: 599 }),
        ],
        jobs: [job("j1", 2), job("j2", 1)],
        history: [...TRUE_RUN.history, record("j2", 0, "accepted"), record("j2", 1, "finished")],
    },
    "accelerator held twice behind a long run": {
        taskRuns: [
            taskRun("w1", { endedAt: 5_000 }),
            taskRun("w2", { endedAt: 5_000 }),
            taskRun("w1", { jobId: "j2", attemptId: "j2.1", startedAt: 200, endedAt: 300, devices: [0] }),
            taskRun("w1", { jobId: "j2", attemptId: "j2.2", startedAt: 400, endedAt: 500, devices: [0] }),
        ],
        jobs: [job("j1", 2), { ...job("j2", 1), spec: { ...job("j2", 1).spec, idempotent: true } }],
        history: [...TRUE_RUN.history, record("j2", 0, "accepted"), record("j2", 1, "finished")],
    },
    "accelerator passed on at once": {
        taskRuns: [
            ...TRUE_RUN.taskRuns,
            taskRun("w1", { jobId: "j2", attemptId: "j2.1", devices: [1], startedAt: 600, endedAt: 700 }),
        ],
        jobs: [job("j1", 2), job("j2", 1)],
        history: [...TRUE_RUN.history, record("j2", 0, "accepted"), record("j2", 1, "finished")],
    },
    "gang with a member that never started": { taskRuns: [taskRun("w1")] },
    "gang with a member that started late": { taskRuns: [taskRun("w1"), taskRun("w2", { startedAt: 201 })] },
    "gang with a member that was stopped early": {
        taskRuns: [taskRun("w1"), taskRun("w2", { endedAt: 499, state: "stopped" })],
    },
    "gang with a member that finished early": { taskRuns: [taskRun("w1"), taskRun("w2", { endedAt: 300 })] },
    "gang with a member that still runs alone": {
        taskRuns: [
            { ...taskRun("w1"), endedAt: undefined, state: "running" },
            taskRun("w2", { state: "failed" }),
        ],
    },
    "batch that runs twice": {
        taskRuns: [
            ...TRUE_RUN.taskRuns,
            ...TRUE_RUN.taskRuns.map(run => ({
                ...run,
                attemptId: "j1.2",
                startedAt: run.startedAt + 1_000,
                endedAt: (run.endedAt ?? 0) + 1_000,
            })),
        ],
    },
    "member that starts twice in one attempt": {
        taskRuns: [...TRUE_RUN.taskRuns, taskRun("w1", { startedAt: 700, endedAt: 800 })],
    },
    "label that is issued twice": { requestRuns: [requestRun(), requestRun({ vmId: "x2", attemptId: "r1.2" })] },
    "job that ran, but the caller was told no": {
        told: [told("j1", { ran: "no" }), told("r1", { answer: "label" })],
    },
    "request that ran, but the history says no": {
        history: [...JOB_EVENTS, record("r1", 0, "failed", { kind: "request", attemptId: "r1.1", ran: "no" })],
    },
    "refused request that is repeated under its key": {
        history: [
            ...JOB_EVENTS,
            record("r0", 0, "refused", { kind: "request", ran: "no", requestKey: "key-r1" }),
            ...REQUEST_EVENTS,
        ],
        told: [told("j1", { answer: "template" }), told("r1", { ran: "no" }), told("r1", { answer: "label" })],
    },
    "refused request that ran beside its repetition": {
        history: [
            ...JOB_EVENTS,
            record("r0", 0, "failed", { kind: "request", ran: "unknown", requestKey: "key-r1" }),
            ...REQUEST_EVENTS,
        ],
        told: [told("j1", { answer: "template" }), told("r1", { ran: "no" }), told("r1", { answer: "label" })],
        requestRuns: [requestRun(), requestRun({ attemptId: "r0.1" })],
    },
    "answer of the other request under its key": {
        history: [
            ...JOB_EVENTS,
            record("r0", 0, "finished", { kind: "request", ran: "yes", requestKey: "key-r1" }),
            ...REQUEST_EVENTS,
        ],
        told: [told("j1", { answer: "template" }), told("r1", { answer: "label", subjectId: "r0" })],
        requestRuns: [requestRun(), requestRun({ attemptId: "r0.1", answer: "card" })],
    },
    "answer without a run": { requestRuns: [] },
    "run that the history does not know": { requestRuns: [requestRun(), requestRun({ attemptId: "r9.1" })] },
    "run of a request whose record names no attempt": {
        history: [...JOB_EVENTS, record("r1", 0, "failed", { kind: "request", ran: "unknown" })],
    },
    "job with two ends": { history: [...TRUE_RUN.history, record("j1", 3, "cancelled")] },
    "job without an end": { history: [...JOB_EVENTS.slice(0, 2), ...REQUEST_EVENTS] },
    "job that was never accepted": { history: [...JOB_EVENTS.slice(1), ...REQUEST_EVENTS] },
    "event that is missing": { history: [...JOB_EVENTS.filter(({ sequence }) => sequence !== 1), ...REQUEST_EVENTS] },
    "event that occurs twice": { history: [...TRUE_RUN.history, ...REQUEST_EVENTS] },
    "answer that is not in the history": { history: JOB_EVENTS },
    "answers exchanged": {
        told: [told("j1", { answer: "label" }), told("r1", { answer: "template", idempotent: false })],
    },
    "answer cut short": { told: [told("j1", { answer: "templ" })] },
};

// Guards against a checker that passes a forged history; the true run must give no finding.
void t.test("forged histories", t => {
    for (const [name, forged] of Object.entries(CASES)) {
        t.matchSnapshot(formatFindings(checkInvariants({ ...TRUE_RUN, ...forged }, OPTIONS)), name);
    }
    t.equal(checkInvariants(TRUE_RUN, OPTIONS).length, 0);
    t.end();
});

// Guards against an end that is demanded of jobs that may still be open.
void t.test("open jobs where they are allowed", t => {
    const evidence = { ...TRUE_RUN, history: [...JOB_EVENTS.slice(0, 2), ...REQUEST_EVENTS] };
    t.strictSame(checkInvariants(evidence, { ...OPTIONS, allowOpen: true }), []);
    t.end();
});
