import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { RunTimeLearner } from "@persimmonpitch/placement/runTimeLearner.js";
import { WorkerHealth } from "@persimmonpitch/placement/workerHealth.js";
import type { TaskReport } from "@persimmonpitch/protocol/taskMessages.js";
import { ActiveJobs } from "@persimmonpitch/scheduler/activeJobs.js";
import type { AgentGateway, KnownAgent } from "@persimmonpitch/scheduler/agentGateway.js";
import { JobStore } from "@persimmonpitch/scheduler/jobStore.js";
import type { RoleContext } from "@persimmonpitch/scheduler/roleContext.js";
import { RoleLease } from "@persimmonpitch/scheduler/roleLease.js";
import type { Configuration } from "@persimmonpitch/schema/configuration.js";
import type { JobRecord } from "@persimmonpitch/schema/job.js";
import { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import { Result } from "true-myth";
import { buildBody, planTeams, teamName, workerVms } from "./configurationBody.js";
import { PLAN } from "./planSizes.js";
import { gangSizes } from "./runningTasks.js";

/** The state of a holder in memory. */
export interface HolderState {
    readonly context: RoleContext;
    readonly configuration: Configuration;
    readonly jobs: number;
    readonly tasks: number;
}

const REGION = "one";
const EPOCH = 1;
const TASKS_PER_VM = 5;
const WORKERS_PER_WAITING_JOB = 9;
const RUN_MS = 14_400_000;
const PAYLOAD = "x".repeat(256);

/** Wide gangs that no free space can take, so that they stay in the queue for all turns. */
const WAITING_GANG = { vms: 64, acceleratorsPerVm: 8 };

const makeRecord = (
    index: number,
    teams: number,
    gang: { readonly vms: number; readonly acceleratorsPerVm: number; },
    members: readonly string[],
): JobRecord => {
    const jobId = `job-${index}`;
    const attempt = {
        attemptId: `attempt-${index}`,
        epoch: EPOCH,
        claimedAt: systemClock.wallTime(),
        members: members.map(vmId => ({ vmId, accelerators: gang.acceleratorsPerVm })),
    };
    return {
        jobId,
        spec: {
            team: teamName(index % teams),
            workClass: "batch",
            gang: { ...gang, adjacency: "any", coresPerVm: 1, memoryMbPerVm: 64 },
            declaredRunMs: RUN_MS,
            idempotent: true,
            checkpointable: true,
            requestKey: `key-${index}`,
            payload: PAYLOAD,
        },
        state: members.length === 0 ? "queued" : "running",
        submittedAt: systemClock.wallTime(),
        attempts: members.length === 0 ? 0 : 1,
        ...members.length === 0 ? {} : { attempt },
        cancelRequested: false,
        failedOn: [],
    };
};

/** Records of running gangs that put 5 tasks on each worker, up to the plan's ratio of tasks to workers. */
const runningRecords = (workers: number, teams: number): JobRecord[] => {
    const limit = Math.round(workers * PLAN.runningTasks / PLAN.workers);
    const records: JobRecord[] = [];
    let tasks = 0;
    for (let layer = 0; layer < TASKS_PER_VM; layer += 1) {
        let first = 0;
        for (const size of gangSizes(workers)) {
            const vms = Math.min(size, limit - tasks);
            if (vms > 0) {
                const members = Array.from({ length: vms }, (_, index) => `worker-${first + index}`);
                records.push(makeRecord(records.length, teams, { vms, acceleratorsPerVm: 1 }, members));
            }
            first += size;
            tasks += Math.max(0, vms);
        }
    }
    return records;
};

const reportOf = ({ jobId, spec, attempt }: JobRecord): TaskReport => ({
    attemptId: attempt?.attemptId ?? "",
    jobId,
    state: "running",
    accelerators: spec.gang.acceleratorsPerVm,
    cores: spec.gang.coresPerVm,
    memoryMb: spec.gang.memoryMbPerVm,
    spansVms: true,
    progress: 0.5,
});

const makeAgents = (workers: number, records: readonly JobRecord[]): ReadonlyMap<string, KnownAgent> => {
    const tasks = new Map<string, Map<string, TaskReport>>();
    for (const record of records) {
        record.attempt?.members.forEach(({ vmId }) => {
            const ofVm = tasks.get(vmId) ?? new Map<string, TaskReport>();
            const report = reportOf(record);
            tasks.set(vmId, ofVm.set(report.attemptId, report));
        });
    }
    return new Map(
        workerVms(workers).map(({ id: vmId, ...vm }) => [vmId, {
            identity: { vmId, instanceId: `instance-${vmId}`, ...vm },
            connected: true,
            lastReportAt: systemClock.now(),
            leaving: false,
            tasks: tasks.get(vmId) ?? new Map<string, TaskReport>(),
        }]),
    );
};

/** A gateway whose agents accept every fence; no other order is sent. */
const createGateway = (agents: ReadonlyMap<string, KnownAgent>): AgentGateway => ({
    workerAgents: () => [...agents.values()],
    workerAgent: vmId => agents.get(vmId),
    sendOrder: (vmId, method) => {
        const instanceId = agents.get(vmId)?.identity.instanceId ?? "";
        const fenced = { kind: "fenced" as const, instanceId, tasks: [] };
        return Promise.resolve(
            method === "task.fence"
                ? Result.ok(fenced as never)
                : Result.err({ kind: "notSent" as const, detail: "Only fences are answered." }),
        );
    },
});

/** A holder's books and agents at a number of workers. */
export const createHolderState = (workers: number): HolderState => {
    const teams = planTeams(workers);
    const body = buildBody(workerVms(workers), teams);
    const configuration: Configuration = { version: 1, loadedAt: 0, loadedBy: "operator", body };
    const running = runningRecords(workers, teams);
    const waiting = Array.from(
        { length: Math.ceil(workers / WORKERS_PER_WAITING_JOB) },
        (_, index) => makeRecord(running.length + index, teams, WAITING_GANG, []),
    );
    const book = new ActiveJobs();
    [...running, ...waiting].forEach(record => book.upsert({ record, version: 1 }));
    const table = new MemoryTable(systemClock);
    const common = { table, clock: systemClock, logger: silentLogger, region: REGION };
    const context: RoleContext = {
        ...common,
        gateway: createGateway(makeAgents(workers, running)),
        store: new JobStore(table, systemClock, REGION),
        activeJobs: book,
        role: new RoleLease({ ...common, holderId: "entry-0" }, EPOCH, 1, 1, systemClock.now()),
        configuration: () => configuration,
        random: Math.random,
        wakeSignal: new WakeSignal(),
        monitor: new InvariantMonitor(silentLogger),
        heldSince: systemClock.now(),
        onJobChanged: () => undefined,
        runTimes: new RunTimeLearner(),
        workerHealth: new WorkerHealth(),
    };
    const tasks = running.reduce((sum, { attempt }) => sum + (attempt?.members.length ?? 0), 0);
    return { context, configuration, jobs: book.size, tasks };
};
