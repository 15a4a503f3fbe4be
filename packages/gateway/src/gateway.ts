import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { ConfigHolder } from "@persimmonpitch/control/configHolder.js";
import { parseRow } from "@persimmonpitch/control/parseRow.js";
import type { Replica } from "@persimmonpitch/control/replica.js";
import type { JobOwner } from "@persimmonpitch/control/rows.js";
import { rowKeys } from "@persimmonpitch/control/rows.js";
import type { RowStore } from "@persimmonpitch/control/rowStore.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { JobState, StepJob, Submission } from "@persimmonpitch/workload/stepJob.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import type { RowTransaction, StoredRow } from "@persimmonpitch/workload/storedRow.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { Refusal } from "./admissionGate.js";
import { AdmissionGate } from "./admissionGate.js";
import type { CommitOutcome } from "./commitWithRetry.js";
import { commitWithRetry } from "./commitWithRetry.js";
import { mayAccessJob, namesJob } from "./jobAccess.js";
import { deriveJobState } from "./jobState.js";
import { findQueue, findTeamByApiKey } from "./queueLookup.js";
import type { RequestOperation } from "./requestLog.js";
import { RequestLog } from "./requestLog.js";
import type { AuthorizedRequest, GatewayError, IncomingRequest } from "./requests.js";
import { mayAddTombstone } from "./tombstoneQuota.js";

export interface GatewayOptions {
    readonly store: RowStore;
    readonly replica: Replica;
    readonly config: ConfigHolder;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Time since the last response of the store to this process; undefined before the first one. */
    readonly timeSinceStoreResponseMs: () => Millis | undefined;
    /** While false, requests that need the store fail with `unavailable` at once. */
    readonly isReady: () => boolean;
    /** Time of the store's clock minus time of `clock`. */
    readonly storeClockOffsetMs: () => Millis;
    /** Applies rows that were just committed to the local replica and sends them to the other entries. */
    readonly publishRows: (rows: readonly StoredRow[]) => void;
    /** Whether jobs are refused when the cluster is overloaded; by default they are not. */
    readonly isAdmissionOn?: (() => boolean) | undefined;
    readonly random?: (() => number) | undefined;
}

/** Authorizes requests and submits, reads and cancels jobs, independently of the transport. */
export class Gateway {
    private readonly requestLog: RequestLog;
    private readonly admissionGate: AdmissionGate;

    constructor(private readonly options: GatewayOptions) {
        this.requestLog = new RequestLog(options);
        const { isAdmissionOn = () => false, random = Math.random } = options;
        this.admissionGate = new AdmissionGate({ ...options, isAdmissionOn, random });
    }

    /** Determines the queue and the team of a request and checks its API key. */
    authorize(request: IncomingRequest): Result<AuthorizedRequest, GatewayError> {
        const authorized = this.resolveRequest(request);
        if (authorized.isErr) {
            this.requestLog.logDenied(request, authorized.error);
        }
        return authorized;
    }

    /** Succeeds once the job is stored. Submission is idempotent: a repeated id refers to the job stored first. */
    async submit(request: AuthorizedRequest, submission: Submission): Promise<Result<void, GatewayError>> {
        return this.requestLog.runLogged("submit", request, () => this.insertJob(request, submission));
    }

    async readState(request: AuthorizedRequest): Promise<Result<JobState, GatewayError>> {
        return this.requestLog.runLogged("read", request, () => this.lookUpJobState(request));
    }

    async cancel(request: AuthorizedRequest): Promise<Result<void, GatewayError>> {
        return this.requestLog.runLogged("cancel", request, () => this.insertCancellation(request));
    }

    /** Logs a request that a front end refuses by itself, for example because of a malformed id. */
    async refuse(
        operation: RequestOperation,
        request: AuthorizedRequest,
        error: GatewayError,
    ): Promise<Result<never, GatewayError>> {
        return this.requestLog.runLogged(operation, request, () => Promise.resolve(err(error)));
    }

    /** Whole seconds after which a requester whose job was refused as `overloaded` may try again. */
    retryAfterSeconds({ queue }: AuthorizedRequest): number {
        return this.admissionGate.retryAfterSeconds(queue);
    }

    /** Counts the jobs of the queue that have not started, ended or been cancelled. */
    countPending({ queue }: AuthorizedRequest): Result<number, GatewayError> {
        const { replica, isReady } = this.options;
        if (!isReady()) {
            return err("unavailable");
        }
        let count = 0;
        for (const [jobId, { value }] of replica.jobs) {
            const isPending = value.queue === queue.name && !replica.cancels.has(jobId)
                && deriveJobState(replica.progress.get(jobId)?.value, false) === "queued";
            count += isPending ? 1 : 0;
        }
        return ok(count);
    }

    private resolveRequest({ host, path, apiKey }: IncomingRequest): Result<AuthorizedRequest, GatewayError> {
        const config = this.options.config.current;
        if (config === undefined) {
            return err("unavailable");
        }
        const queue = findQueue(config, host, path);
        if (queue === undefined) {
            return err("unknownQueue");
        }
        const team = findTeamByApiKey(config, apiKey);
        if (team === undefined && !queue.isPublic) {
            return err("unknownKey");
        }
        return ok({ queue, team: team?.name, jobId: path.slice(queue.pathPrefix.length) });
    }

    private async insertJob(request: AuthorizedRequest, submission: Submission): Promise<Result<void, GatewayError>> {
        const { replica, isReady } = this.options;
        const { jobId, queue, team } = request;
        if (!isReady()) {
            return err("unavailable");
        }
        const replicatedJob = replica.jobs.get(jobId)?.value;
        if (replicatedJob !== undefined) {
            return checkRepeatedSubmission(replicatedJob, request);
        }
        const owner = ownerOf(request);
        if (replica.hasTombstone(jobId, owner)) {
            return err("cancelled");
        }
        const job: StepJob = {
            ...submission,
            jobId,
            queue: queue.name,
            acceptedQueue: queue,
            ...(team === undefined ? {} : { team }),
            acceptedAt: this.storeTime(),
        };
        const refusal = this.admissionGate.findRefusal(job, queue);
        if (refusal !== undefined) {
            return this.refuseUnlessStored(request, job, refusal);
        }
        const key = rowKeys.job(jobId);
        const committed = await this.commit({
            expected: [{ key, version: 0 }, { key: rowKeys.tombstone(jobId, owner), version: 0 }],
            puts: [{ key, value: JSON.stringify(job) }],
        });
        if (committed.isOk && committed.value.kind === "committed") {
            this.admissionGate.recordStored(job, queue);
        }
        return committed.andThen(outcome =>
            outcome.kind === "committed" ? ok(undefined) : explainRefusedSubmission(outcome.rows, request)
        );
    }

    /**
     * Refuses a job that is not stored. The replica may lag behind the store, and an earlier submission of the same id
     * may have been stored through another entry, so the store is asked.
     */
    private async refuseUnlessStored(
        request: AuthorizedRequest,
        job: StepJob,
        refusal: Refusal,
    ): Promise<Result<void, GatewayError>> {
        const key = rowKeys.job(request.jobId);
        const page = await this.options.store.scan({ from: key, to: `${key}\u0000`, limit: 1 });
        if (page.isErr) {
            return err("unavailable");
        }
        const storedJob = findJobRow(page.value.rows, request.jobId);
        if (storedJob !== undefined) {
            return checkRepeatedSubmission(storedJob, request);
        }
        this.admissionGate.logRefusal(job, refusal);
        return err("overloaded");
    }

    private async lookUpJobState(request: AuthorizedRequest): Promise<Result<JobState, GatewayError>> {
        const { replica } = this.options;
        const found = await this.findJob(request);
        if (found.isErr) {
            return err(found.error);
        }
        const progress = replica.progress.get(request.jobId)?.value;
        return ok(deriveJobState(progress, replica.cancels.has(request.jobId)));
    }

    private async insertCancellation(request: AuthorizedRequest): Promise<Result<void, GatewayError>> {
        const found = await this.findJob(request);
        if (found.isOk) {
            return this.cancelStoredJob(request);
        }
        return found.error === "unknownJob" ? this.cancelUnstoredJob(request) : err(found.error);
    }

    private async cancelStoredJob({ jobId }: AuthorizedRequest): Promise<Result<void, GatewayError>> {
        const { replica, isReady, clock } = this.options;
        const outcome = replica.progress.get(jobId)?.value.outcome ?? "open";
        if (outcome !== "open" || replica.cancels.has(jobId)) {
            return ok(undefined);
        }
        if (!isReady()) {
            return err("unavailable");
        }
        const value = JSON.stringify({ at: clock.wallTime() });
        const committed = await this.commit({ puts: [{ key: rowKeys.cancel(jobId), value }] });
        return committed.map(() => undefined);
    }

    /**
     * Cancels a job that is not stored. A write of the job may still be under way, here or at another entry, so the
     * answer is given only once a tombstone makes such a write fail.
     */
    private async cancelUnstoredJob(request: AuthorizedRequest): Promise<Result<void, GatewayError>> {
        const { replica } = this.options;
        const { jobId } = request;
        const owner = ownerOf(request);
        if (replica.jobs.has(jobId) || replica.hasTombstone(jobId, owner)) {
            return err("unknownJob");
        }
        if (!mayAddTombstone(replica.tombstones, owner)) {
            return err("tooManyCancellations");
        }
        const key = rowKeys.tombstone(jobId, owner);
        const committed = await this.commit({
            expected: [{ key: rowKeys.job(jobId), version: 0 }, { key, version: 0 }],
            puts: [{ key, value: JSON.stringify({ at: this.storeTime(), ...owner }) }],
        });
        if (committed.isErr) {
            return err(committed.error);
        }
        if (committed.value.kind === "committed") {
            return err("unknownJob");
        }
        const { rows } = committed.value;
        const job = findJobRow(rows, jobId);
        if (job !== undefined) {
            return this.checkAccess(job, request).isOk ? this.cancelStoredJob(request) : err("unknownJob");
        }
        return err(rows.some(row => row.key === key) ? "unknownJob" : "unclear");
    }

    private async findJob(request: AuthorizedRequest): Promise<Result<StepJob, GatewayError>> {
        const { replica, isReady, store } = this.options;
        const replicatedJob = replica.jobs.get(request.jobId)?.value;
        if (replicatedJob !== undefined) {
            return this.checkAccess(replicatedJob, request);
        }
        if (!isReady()) {
            return err("unavailable");
        }
        const key = rowKeys.job(request.jobId);
        const page = await store.scan({ from: key, to: `${key}\u0000`, limit: 1 });
        if (page.isErr) {
            return err("unavailable");
        }
        const row = page.value.rows[0];
        const job = row === undefined ? undefined : parseRow(stepJobSchema, row.value);
        return job === undefined ? err("unknownJob") : this.checkAccess(job, request);
    }

    /** Reports a job that the request may not access as unknown, so that its existence is not disclosed. */
    private checkAccess(job: StepJob, request: AuthorizedRequest): Result<StepJob, GatewayError> {
        return mayAccessJob(job, request, this.options.config.current) ? ok(job) : err("unknownJob");
    }

    /** Commits a transaction and shares the rows that it wrote. */
    private async commit(transaction: RowTransaction): Promise<Result<CommitOutcome, GatewayError>> {
        const { store, clock, publishRows } = this.options;
        const committed = await commitWithRetry(store, clock, transaction);
        if (committed.isOk && committed.value.kind === "committed") {
            const { version } = committed.value;
            publishRows((transaction.puts ?? []).map(row => ({ ...row, version })));
        }
        return committed;
    }

    private storeTime(): Millis {
        const { clock, storeClockOffsetMs } = this.options;
        return Math.round(clock.now() + storeClockOffsetMs());
    }
}

const ownerOf = ({ queue, team }: AuthorizedRequest): JobOwner => ({ queue: queue.name, team });

const findJobRow = (rows: readonly StoredRow[], jobId: string): StepJob | undefined => {
    const row = rows.find(({ key }) => key === rowKeys.job(jobId));
    return row === undefined ? undefined : parseRow(stepJobSchema, row.value);
};

/** A submission is idempotent, unless its id belongs to the job of another queue or team. */
const checkRepeatedSubmission = (job: StepJob, request: AuthorizedRequest): Result<void, GatewayError> =>
    namesJob(job, request) ? ok(undefined) : err("idInUse");

/** Answers a submission by the rows that its conditions exclude. */
const explainRefusedSubmission = (
    rows: readonly StoredRow[],
    request: AuthorizedRequest,
): Result<void, GatewayError> => {
    const { jobId } = request;
    const job = findJobRow(rows, jobId);
    if (job !== undefined) {
        return checkRepeatedSubmission(job, request);
    }
    const isCancelled = rows.some(({ key }) => key === rowKeys.tombstone(jobId, ownerOf(request)));
    return err(isCancelled ? "cancelled" : "unclear");
};
