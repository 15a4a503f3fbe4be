import type { TableError } from "@persimmonpitch/backing/table.js";
import type { CancellationResult, StoredJob } from "@persimmonpitch/scheduler/jobStore.js";
import { scanKeys } from "@persimmonpitch/scheduler/jobStore.js";
import { rowKeys } from "@persimmonpitch/scheduler/rowKeys.js";
import type { CancelAnswer, JobsAnswer } from "@persimmonpitch/schema/apiAnswers.js";
import { identifierSchema, millisSchema } from "@persimmonpitch/schema/identifier.js";
import type { JobRecord } from "@persimmonpitch/schema/job.js";
import { jobRequestSchema } from "@persimmonpitch/schema/job.js";
import type { FastifyInstance } from "fastify";
import { randomUUID } from "node:crypto";
import * as z from "zod";
import type { ApiContext } from "./apiContext.js";
import { requireConfiguration, requireTeam } from "./apiContext.js";
import { ProblemError, toFindings } from "./problems.js";

const jobParamsSchema = z.object({ jobId: identifierSchema });
const MAX_WAIT_MS = 60_000;
const waitQuerySchema = z.object({ timeoutMs: z.coerce.number().pipe(millisSchema.max(MAX_WAIT_MS)).default(30_000) });
const MAX_LISTED_JOBS = 1_000;
const RETRY_AFTER_MS = 5_000;

/** Parses a body or parameters, or throws a problem with all findings. */
export const parseOrThrow = <S extends z.ZodType>(schema: S, value: unknown): z.output<S> => {
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        throw new ProblemError("invalidBody", {}, { findings: toFindings(parsed.error) });
    }
    return parsed.data;
};

/** Converts a failed call to the table to a problem; a write without an answer may have taken effect. */
export const toTableProblem = (error: TableError, isWrite: boolean): ProblemError =>
    isWrite && error.kind === "unclear"
        ? new ProblemError("storeUnclear", {}, { retryAfterMs: RETRY_AFTER_MS })
        : new ProblemError("storeUnavailable", {}, { retryAfterMs: RETRY_AFTER_MS });

/** Ids begin with the time in base 36, so that a team's jobs are listed and exported in order of submission. */
const TIME_PREFIX_LENGTH = 9;
export const createSubjectId = (prefix: string, wallTime: number): string =>
    `${prefix}${Math.floor(wallTime).toString(36).padStart(TIME_PREFIX_LENGTH, "0")}-${randomUUID().slice(0, 13)}`;

const CANCEL_RESULTS = {
    cancelled: "cancelled",
    requested: "stopping",
    alreadyEnded: "alreadyEnded",
} as const satisfies Readonly<Record<Exclude<CancellationResult["kind"], "missing">, CancelAnswer["result"]>>;

/** Cancels a job; one that is not visible to the caller is reported as not found. */
export const cancelJob = async (
    context: ApiContext,
    jobId: string,
    isVisible: (job: JobRecord) => boolean,
): Promise<CancelAnswer> => {
    await readVisibleJob(context, jobId, isVisible);
    const cancelled = await context.jobStore.cancel(jobId);
    if (cancelled.isErr) {
        throw toTableProblem(cancelled.error, true);
    }
    if (cancelled.value.kind === "missing") {
        throw new ProblemError("notFound", { what: `job ${jobId}` });
    }
    notifyJobChanged(context, jobId);
    return { result: CANCEL_RESULTS[cancelled.value.kind], job: cancelled.value.job.record };
};

/** Notifies the role, the peers and the waiting callers that a job has changed. */
const notifyJobChanged = (context: ApiContext, jobId: string): void => {
    context.role.notifyJobChange([jobId]);
    context.peers.notify([jobId]);
    context.jobWaiters.notify(jobId);
};

const readVisibleJob = async (
    context: ApiContext,
    jobId: string,
    isVisible: (job: JobRecord) => boolean,
): Promise<StoredJob> => {
    const read = await context.jobStore.read(jobId);
    if (read.isErr) {
        throw toTableProblem(read.error, false);
    }
    if (read.value === undefined || !isVisible(read.value.record)) {
        throw new ProblemError("notFound", { what: `job ${jobId}` });
    }
    return read.value;
};

/** Refuses a new job if the team's queue is at its limit; a repeated request key still returns its existing job. */
const checkQueueLimit = async (context: ApiContext, team: string, requestKey: string): Promise<void> => {
    const configuration = requireConfiguration(context);
    if (!context.role.teamsAtQueueLimit(configuration).has(team) && !context.leaseGranter.isTeamAtQueueLimit(team)) {
        return;
    }
    const keyRow = await context.table.read(rowKeys.requestKey(team, requestKey));
    if (keyRow.isErr) {
        throw toTableProblem(keyRow.error, false);
    }
    if (keyRow.value === undefined) {
        const limit = configuration.body.rules.queueLengthPerTeam;
        throw new ProblemError("queueFull", { limit }, { retryAfterMs: RETRY_AFTER_MS });
    }
};

const listJobs = async (context: ApiContext, team: string): Promise<JobsAnswer> => {
    const prefix = rowKeys.teamJobPrefix(team);
    const jobIds: string[] = [];
    for await (const key of scanKeys(context.table, prefix)) {
        if (key.isErr) {
            throw toTableProblem(key.error, false);
        }
        jobIds.push(key.value.slice(prefix.length));
        // Keys are in order of time, so dropping the first one keeps the most recent jobs.
        if (jobIds.length > MAX_LISTED_JOBS) {
            jobIds.shift();
        }
    }
    const jobs: JobRecord[] = [];
    for (const jobId of jobIds) {
        jobs.push((await readVisibleJob(context, jobId, job => job.spec.team === team)).record);
    }
    return { jobs };
};

/** Adds the routes with which teams submit, list, wait for and cancel jobs. */
export const addJobRoutes = (server: FastifyInstance, context: ApiContext): void => {
    server.post("/v1/jobs", async (req, res) => {
        const team = requireTeam(context, req);
        const body = parseOrThrow(jobRequestSchema, req.body);
        await checkQueueLimit(context, team, body.requestKey);
        const jobId = createSubjectId("j", context.clock.wallTime());
        const submitted = await context.jobStore.accept({ ...body, team }, jobId);
        if (submitted.isErr) {
            throw toTableProblem(submitted.error, true);
        }
        if (submitted.value.kind === "keyTaken") {
            throw new ProblemError("keyTaken", { key: body.requestKey });
        }
        const { record } = submitted.value.job;
        notifyJobChanged(context, record.jobId);
        return res.code(202).header("location", `/v1/jobs/${record.jobId}`).send(record);
    });
    server.get("/v1/jobs", req => listJobs(context, requireTeam(context, req)));
    server.get("/v1/jobs/:jobId", async req => {
        const team = requireTeam(context, req);
        const { jobId } = parseOrThrow(jobParamsSchema, req.params);
        return (await readVisibleJob(context, jobId, job => job.spec.team === team)).record;
    });
    server.get("/v1/jobs/:jobId/wait", async req => {
        const team = requireTeam(context, req);
        const { jobId } = parseOrThrow(jobParamsSchema, req.params);
        const { timeoutMs } = parseOrThrow(waitQuerySchema, req.query);
        await readVisibleJob(context, jobId, job => job.spec.team === team);
        const job = await context.jobWaiters.waitForEnd(jobId, timeoutMs);
        if (job === undefined) {
            throw toTableProblem({ kind: "unavailable", detail: "" }, false);
        }
        return job.record;
    });
    server.post("/v1/jobs/:jobId/cancel", req => {
        const team = requireTeam(context, req);
        const { jobId } = parseOrThrow(jobParamsSchema, req.params);
        return cancelJob(context, jobId, job => job.spec.team === team);
    });
};
