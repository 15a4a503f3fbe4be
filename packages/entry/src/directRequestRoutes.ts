import type { Millis } from "@persimmonpitch/clock/clock.js";
import { historyPut } from "@persimmonpitch/history/historyRow.js";
import { requestKeyRowSchema } from "@persimmonpitch/scheduler/jobStore.js";
import { rowKeys } from "@persimmonpitch/scheduler/rowKeys.js";
import type { DirectRequestBody } from "@persimmonpitch/schema/directRequest.js";
import { directRequestBodySchema } from "@persimmonpitch/schema/directRequest.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { identifierSchema } from "@persimmonpitch/schema/identifier.js";
import type { Ran } from "@persimmonpitch/schema/job.js";
import type { FastifyInstance } from "fastify";
import { randomUUID } from "node:crypto";
import * as z from "zod";
import type { ApiContext } from "./apiContext.js";
import { requireConfiguration, requireTeam } from "./apiContext.js";
import type { DirectRequestOutcome } from "./directRequestDispatcher.js";
import { outcomeRecordSequence } from "./directRequestDispatcher.js";
import { createSubjectId, parseOrThrow } from "./jobRoutes.js";
import type { ProblemCode } from "./problems.js";
import { ProblemError } from "./problems.js";

const serviceParamsSchema = z.object({ service: identifierSchema });
const RETRY_AFTER_MS = 5_000;
const RECORDED_CALL_TIMEOUT_MS = 5_000;

/** Problem codes by the code of a refusal from routing; all but the last mean too much load or too little time. */
const PROBLEM_CODES: Readonly<Record<string, ProblemCode>> = {
    deadlinePassed: "overloaded",
    deadlineUnreachable: "overloaded",
    teamQueueFull: "overloaded",
    noEndpoint: "overloaded",
    retryBudgetSpent: "overloaded",
    executorFailed: "executorFailed",
};

/**
 * Returns the problem code for a refused request. One that may have run and has no answer by its deadline has timed out,
 * whatever the result of its last attempt.
 */
const problemCodeOf = (code: string, ran: Ran, isPastDeadline: boolean): ProblemCode =>
    ran !== "no" && isPastDeadline ? "timeout" : PROBLEM_CODES[code] ?? "internal";

/** A claimed request key: its row and the version that the claim wrote. */
interface RequestKeyClaim {
    readonly key: string;
    readonly version: number;
}

/** Claims the key of a non-idempotent request before the request is sent to an executor; a repeated key is refused. */
const claimRequestKey = async (
    context: ApiContext,
    team: string,
    requestId: string,
    { requestKey }: DirectRequestBody,
): Promise<RequestKeyClaim> => {
    const key = rowKeys.requestKey(team, requestKey);
    const claimRecord: HistoryRecord = {
        team,
        kind: "request",
        subjectId: requestId,
        sequence: 0,
        event: "claimed",
        at: context.clock.wallTime(),
        requestKey,
        detail: "",
    };
    const commit = await context.table.commit({
        writeId: randomUUID(),
        checks: [{ key, version: 0 }],
        puts: [{ key, value: { kind: "request", subjectId: requestId } }, historyPut(claimRecord)],
        deletes: [],
    });
    if (commit.isOk) {
        return { key, version: commit.value[key] ?? 1 };
    }
    // The request was not sent to an executor, so it has not run, whether or not the claim was written.
    const read = commit.error.kind === "unavailable" ? undefined : await context.table.read(key);
    if (read?.isOk !== true || (commit.error.kind === "unclear" && read.value === undefined)) {
        throw new ProblemError("storeUnavailable", {}, { retryAfterMs: RETRY_AFTER_MS });
    }
    const keyRow = requestKeyRowSchema.safeParse(read.value?.value);
    if (keyRow.success && keyRow.data.subjectId === requestId) {
        // The claim was written although its answer was lost. Failing here would leave the key claimed permanently.
        return { key, version: read.value?.version ?? 1 };
    }
    if (keyRow.success && keyRow.data.kind === "request") {
        throw new ProblemError("duplicateRequest", { key: requestKey, requestId: keyRow.data.subjectId });
    }
    throw new ProblemError("keyTaken", { key: requestKey });
};

/** Releases the key of a request that certainly did not run, so that the caller can repeat the request. */
const releaseClaim = async (context: ApiContext, { key, version }: RequestKeyClaim): Promise<void> => {
    await context.table.commit({ writeId: randomUUID(), checks: [{ key, version }], puts: [], deletes: [key] });
};

const createOutcomeRecord = (
    context: ApiContext,
    team: string,
    requestId: string,
    { requestKey, idempotent }: DirectRequestBody,
    outcome: DirectRequestOutcome,
): HistoryRecord => {
    const commonFields = {
        team,
        kind: "request" as const,
        subjectId: requestId,
        sequence: outcomeRecordSequence(idempotent),
        at: context.clock.wallTime(),
        requestKey,
    };
    return outcome.kind === "answered"
        ? { ...commonFields, event: "finished", ran: "yes", attemptId: outcome.attemptId, detail: "" }
        : {
            ...commonFields,
            event: outcome.ran === "no" ? "refused" : "failed",
            ran: outcome.ran,
            detail: `${outcome.code}: ${outcome.detail}`,
        };
};

/** Queues the record for a batched write; once it is durable, the executor's agent is told to drop its copy. */
const writeRecord = (context: ApiContext, record: HistoryRecord, outcome: DirectRequestOutcome): void => {
    const pending = context.historyBatcher.add(record);
    if (pending.isErr) {
        context.logger.log("error", "history.recordRefused", { request: record.subjectId, reason: pending.error });
        return;
    }
    void pending.value.durable.then(isDurable => {
        if (isDurable && outcome.kind === "answered") {
            const agent = context.registry.localConnections().find(({ identity }) => identity.vmId === outcome.vmId);
            void agent?.connection.call(
                "request.recorded",
                { requestIds: [record.subjectId] },
                RECORDED_CALL_TIMEOUT_MS,
            );
        }
    });
};

/** Counts the outcome and its latency for the service-level objectives. */
const recordForObjectives = (
    context: ApiContext,
    body: DirectRequestBody,
    outcome: DirectRequestOutcome,
    startedAt: Millis,
): void => {
    const now = context.clock.now();
    const isRefused = outcome.kind === "refused" && outcome.ran === "no";
    const requestOutcome = outcome.kind === "answered" ? "answered" : isRefused ? "refused" : "failed";
    context.burnRecorder.record(body.workClass, requestOutcome, now - startedAt, now - context.startedAt);
};

/** Whether the service exists. One whose executors have not connected yet is known from the inventory. */
const isServiceKnown = (context: ApiContext, service: string): boolean =>
    context.directRequests.hasService(service)
    || requireConfiguration(context).body.vms.some(vm => vm.service === service);

/** Adds the route for direct requests. */
export const addDirectRequestRoutes = (server: FastifyInstance, context: ApiContext): void => {
    server.post("/v1/services/:service/requests", async (req, res) => {
        const team = requireTeam(context, req);
        const { service } = parseOrThrow(serviceParamsSchema, req.params);
        const body = parseOrThrow(directRequestBodySchema, req.body);
        if (!isServiceKnown(context, service)) {
            throw new ProblemError("notFound", { what: `service ${service}` });
        }
        if (context.historyBatcher.isFull) {
            const detail = "Too many records wait for the platform's table.";
            throw new ProblemError("overloaded", { detail }, { retryAfterMs: RETRY_AFTER_MS });
        }
        const startedAt = context.clock.now();
        const requestId = createSubjectId("r", context.clock.wallTime());
        const claim = body.idempotent ? undefined : await claimRequestKey(context, team, requestId, body);
        const outcome = await context.directRequests.run(service, team, requestId, body);
        writeRecord(context, createOutcomeRecord(context, team, requestId, body, outcome), outcome);
        recordForObjectives(context, body, outcome, startedAt);
        if (outcome.kind === "answered") {
            return res.send(outcome.answer);
        }
        if (claim !== undefined && outcome.ran === "no") {
            await releaseClaim(context, claim);
        }
        const { retryAfterMs, detail, ran } = outcome;
        const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
        const isPastDeadline = context.clock.now() - startedAt >= body.timeoutMs;
        throw new ProblemError(problemCodeOf(outcome.code, ran, isPastDeadline), { detail }, { ran, ...retry });
    });
};
