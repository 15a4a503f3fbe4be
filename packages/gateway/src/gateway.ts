import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { ConfigHolder } from "@persimmonpitch/control/configHolder.js";
import { parseRow } from "@persimmonpitch/control/parseRow.js";
import type { Replica } from "@persimmonpitch/control/replica.js";
import { rowKeys } from "@persimmonpitch/control/rows.js";
import type { RowStore } from "@persimmonpitch/control/rowStore.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { JobState, StepJob, Submission } from "@persimmonpitch/workload/stepJob.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import type { RowTransaction, StoredRow } from "@persimmonpitch/workload/storedRow.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import { deriveJobState } from "./jobState.js";
import { findQueue, findTeamByApiKey } from "./queueLookup.js";
import { RequestLog } from "./requestLog.js";
import type { AuthorizedRequest, GatewayError, IncomingRequest } from "./requests.js";

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
}

/**
 * How long a commit with an unclear result is retried, at least once, before the request fails with `unclear`. Requesters
 * retry with the same id, so an early failure serves them better than a late one that leaves no time for a retry.
 */
const UNCLEAR_COMMIT_RETRY_MS: Millis = 300;
const UNCLEAR_COMMIT_RETRY_INTERVAL_MS: Millis = 100;

/** Authorizes requests and submits, reads and cancels jobs, independently of the transport. */
export class Gateway {
    private readonly requestLog: RequestLog;

    constructor(private readonly options: GatewayOptions) {
        this.requestLog = new RequestLog(options);
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
        const { replica, isReady, clock, storeClockOffsetMs, publishRows } = this.options;
        if (!isReady()) {
            return err("unavailable");
        }
        if (replica.jobs.has(request.jobId)) {
            return ok(undefined);
        }
        const job: StepJob = {
            ...submission,
            jobId: request.jobId,
            queue: request.queue.name,
            ...(request.team === undefined ? {} : { team: request.team }),
            acceptedAt: Math.round(clock.now() + storeClockOffsetMs()),
        };
        const key = rowKeys.job(request.jobId);
        const value = JSON.stringify(job);
        const committed = await this.commitWithRetry({ expected: [{ key, version: 0 }], puts: [{ key, value }] });
        committed.match({
            Ok: version => {
                if (version !== undefined) {
                    publishRows([{ key, value, version }]);
                }
            },
            Err: () => undefined,
        });
        return committed.map(() => undefined);
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
        const { replica, isReady, clock, publishRows } = this.options;
        const found = await this.findJob(request);
        if (found.isErr) {
            return err(found.error);
        }
        const outcome = replica.progress.get(request.jobId)?.value.outcome ?? "open";
        if (outcome !== "open" || replica.cancels.has(request.jobId)) {
            return ok(undefined);
        }
        if (!isReady()) {
            return err("unavailable");
        }
        const key = rowKeys.cancel(request.jobId);
        const value = JSON.stringify({ at: clock.wallTime() });
        const committed = await this.commitWithRetry({ expected: [], puts: [{ key, value }] });
        if (committed.isOk && committed.value !== undefined) {
            publishRows([{ key, value, version: committed.value }]);
        }
        return committed.map(() => undefined);
    }

    private async findJob(request: AuthorizedRequest): Promise<Result<StepJob, GatewayError>> {
        const { replica, isReady, store } = this.options;
        const replicatedJob = replica.jobs.get(request.jobId)?.value;
        if (replicatedJob !== undefined) {
            return checkJobAccess(replicatedJob, request);
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
        return job === undefined ? err("unknownJob") : checkJobAccess(job, request);
    }

    /** Commits and returns the version of the rows, or undefined when they already existed. */
    private async commitWithRetry(transaction: RowTransaction): Promise<Result<number | undefined, GatewayError>> {
        const { store, clock } = this.options;
        const retryDeadline = clock.now() + UNCLEAR_COMMIT_RETRY_MS;
        for (let isPossiblyCommitted = false, attempt = 1;; attempt += 1) {
            const commitResult = await store.commit(transaction);
            if (commitResult.isOk) {
                return ok(commitResult.value.version);
            }
            switch (commitResult.error.kind) {
                case "conflict":
                    return ok(undefined);
                case "rejected":
                    return err("rejected");
                case "unavailable":
                    if (!isPossiblyCommitted) {
                        return err("unavailable");
                    }
                    break;
                case "unclear":
                    isPossiblyCommitted = true;
                    break;
                default: {
                    const unhandledError: never = commitResult.error;
                    return unhandledError;
                }
            }
            if (clock.now() >= retryDeadline && attempt > 1) {
                return err("unclear");
            }
            await clock.sleep(UNCLEAR_COMMIT_RETRY_INTERVAL_MS);
        }
    }
}

/**
 * Reports a job of another team as unknown, so that its existence is not disclosed. In public queues, jobs and requests
 * may have no team; then access is not restricted.
 */
const checkJobAccess = (job: StepJob, request: AuthorizedRequest): Result<StepJob, GatewayError> =>
    job.team === undefined || request.team === undefined || job.team === request.team ? ok(job) : err("unknownJob");
