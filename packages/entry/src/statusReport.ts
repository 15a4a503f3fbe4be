import type { Millis } from "@persimmonpitch/clock/clock.js";
import { vmConditionSchema } from "@persimmonpitch/schema/apiAnswers.js";
import type { StatusAnswer } from "@persimmonpitch/schema/apiAnswers.js";
import type { JobRecord } from "@persimmonpitch/schema/job.js";
import type { ApiContext } from "./apiContext.js";
import { toTableProblem } from "./jobRoutes.js";
import type { SchedulingExplanation } from "./schedulingExplanation.js";
import { explainScheduling } from "./schedulingExplanation.js";

const EXPLAIN_TIMEOUT_MS: Millis = 3_000;
const EMPTY_EXPLANATION: SchedulingExplanation = { jobs: [], unmetGuarantees: [], conditions: [] };

/** Returns the role holder's view of jobs and VMs; it is empty if the holder is unknown or does not answer. */
const fetchExplanation = async (context: ApiContext): Promise<SchedulingExplanation> => {
    if (context.role.epoch !== undefined) {
        return explainScheduling(context);
    }
    const link = context.peers.connectionTo(context.leaseGranter.holderPeerId ?? "");
    const answer = await link?.call("peer.explain", {}, EXPLAIN_TIMEOUT_MS);
    return answer?.unwrapOr(EMPTY_EXPLANATION) ?? EMPTY_EXPLANATION;
};

const readActiveJobs = async (context: ApiContext): Promise<readonly JobRecord[]> => {
    const jobs: JobRecord[] = [];
    for await (const job of context.jobStore.activeJobs()) {
        if (job.isErr) {
            throw toTableProblem(job.error, false);
        }
        jobs.push(job.value.record);
    }
    return jobs;
};

const countHeldAccelerators = (jobs: readonly JobRecord[], matches: (vmId: string) => boolean): number =>
    jobs.flatMap(({ attempt }) => attempt?.members ?? [])
        .filter(({ vmId }) => matches(vmId))
        .reduce((sum, { accelerators }) => sum + accelerators, 0);

/** Builds the status of VMs, teams and jobs, with the reason why each queued job waits. */
export const buildStatus = async (context: ApiContext): Promise<StatusAnswer> => {
    const [jobs, explanation] = await Promise.all([readActiveJobs(context), fetchExplanation(context)]);
    const waitReasons = new Map(explanation.jobs.map(job => [job.jobId, job]));
    const conditions = new Map(explanation.conditions.map(({ vmId, condition }) => [vmId, condition]));
    const body = context.configStore.configuration?.body;
    const holderId = context.role.epoch === undefined ? context.leaseGranter.holderPeerId : context.entryId;
    return {
        region: context.region,
        role: { ...(holderId === undefined ? {} : { holder: holderId }), epoch: context.leaseGranter.highestEpoch },
        ...(body === undefined ? {} : { configVersion: context.configStore.version }),
        vms: (body?.vms ?? []).filter(({ kind }) => kind === "worker").map(({ id, accelerators }) => ({
            vmId: id,
            condition: vmConditionSchema.catch("unknown").parse(conditions.get(id)),
            accelerators,
            freeAccelerators: Math.max(0, accelerators - countHeldAccelerators(jobs, vmId => vmId === id)),
            leaving: context.registry.workerAgent(id)?.leaving ?? false,
        })),
        teams: (body?.teams ?? []).map(({ id }) => {
            const teamJobs = jobs.filter(({ spec }) => spec.team === id);
            return {
                team: id,
                running: teamJobs.filter(({ state }) => state === "running").length,
                queued: teamJobs.filter(({ state }) => state === "queued").length,
                acceleratorsInUse: countHeldAccelerators(teamJobs, () => true),
            };
        }),
        jobs: jobs.map(({ jobId, spec, state }) => {
            const { reason, detail } = waitReasons.get(jobId) ?? {};
            const waitReason = reason === undefined ? {} : { reason, detail: detail ?? "" };
            return { jobId, team: spec.team, state, ...waitReason };
        }),
        unmetGuarantees: explanation.unmetGuarantees,
        breaches: { ...context.monitor.counts },
    };
};
