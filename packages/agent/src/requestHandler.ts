import type { Executor } from "@persimmonpitch/backing/worker.js";
import type { Clock } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { EntryToAgentMethods, ExecutorLimits, RequestRefusal } from "@persimmonpitch/protocol/agentMessages.js";
import { digestOf } from "@persimmonpitch/protocol/digest.js";
import type { ParamsOf, ResultOf } from "@persimmonpitch/protocol/method.js";
import type { HistoryEvent, HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import type { UnconfirmedRecords } from "./unconfirmedRecords.js";

type RunParams = ParamsOf<EntryToAgentMethods["request.run"]>;
type RunResult = ResultOf<EntryToAgentMethods["request.run"]>;
type RunOutcome = RunResult["outcome"];

/** Attempts that are remembered, so that a repeated call does not run an attempt twice. */
const MAX_SEEN_ATTEMPTS = 50_000;

/** Dependencies of the request handler. */
export interface RequestHandlerContext {
    readonly clock: Clock;
    readonly executor: Executor;
    readonly records: UnconfirmedRecords;
    readonly logger: Logger;
    readonly isLeaving: () => boolean;
}

/** Runs direct requests on the executor: no more at a time than it has slots, and each attempt at most once. */
export class RequestHandler {
    private inFlightCount = 0;
    private limits: ExecutorLimits = { slots: 8, connections: 64 };
    private readonly seenAttempts = new Set<string>();

    constructor(private readonly context: RequestHandlerContext) {}

    get inFlight(): number {
        return this.inFlightCount;
    }

    setLimits(limits: ExecutorLimits): void {
        this.limits = limits;
    }

    /** Runs one attempt for an entry, or refuses it without running anything. */
    async run(params: RunParams, entryInstanceId: string): Promise<RunResult> {
        const reason = this.refusalReason(params);
        if (reason !== undefined) {
            this.context.logger.log("debug", "request.refused", { request: params.requestId, reason });
            return { inFlight: this.inFlightCount, outcome: { kind: "refused", reason } };
        }
        this.rememberAttempt(params.attemptId);
        this.inFlightCount += 1;
        try {
            const outcome = await this.execute(params, entryInstanceId);
            return { inFlight: this.inFlightCount - 1, outcome };
        }
        finally {
            this.inFlightCount -= 1;
        }
    }

    private refusalReason(params: RunParams): RequestRefusal | undefined {
        if (this.seenAttempts.has(params.attemptId)) {
            return "duplicate";
        }
        if (this.context.isLeaving()) {
            return "leaving";
        }
        if (this.inFlightCount >= Math.min(this.limits.slots, this.limits.connections)) {
            return "busy";
        }
        if (params.timeLeftMs <= 0) {
            return "expired";
        }
        return this.context.records.isFull ? "tooManyRecords" : undefined;
    }

    private async execute(params: RunParams, entryInstanceId: string): Promise<RunOutcome> {
        const { requestId, attemptId, team, service, body } = params;
        if (params.length !== Buffer.byteLength(body) || params.digest !== digestOf(body)) {
            return { kind: "failed", ran: "no", detail: "The body of the request arrived damaged." };
        }
        const executionAbort = new AbortController();
        const deadlineTimer = new AbortController();
        void this.context.clock.sleep(params.timeLeftMs, deadlineTimer.signal).then(() => {
            executionAbort.abort();
        });
        const execution = await this.context.executor.run({ attemptId, team, service, body }, executionAbort.signal);
        deadlineTimer.abort();
        if (execution.isErr && execution.error.kind === "refused") {
            return { kind: "failed", ran: "no", detail: execution.error.detail };
        }
        if (execution.isErr) {
            return { kind: "failed", ran: "unknown", detail: execution.error.detail };
        }
        this.context.records.add(this.createRecord(params, "finished"), entryInstanceId);
        const answerBody = execution.value;
        return {
            kind: "answered",
            requestId,
            answer: answerBody,
            length: Buffer.byteLength(answerBody),
            digest: digestOf(answerBody),
        };
    }

    private createRecord(
        { team, requestId, requestKey, attemptId, recordSequence }: RunParams,
        event: HistoryEvent,
    ): HistoryRecord {
        return {
            team,
            kind: "request",
            subjectId: requestId,
            sequence: recordSequence,
            event,
            at: this.context.clock.wallTime(),
            requestKey,
            attemptId,
            ran: "yes",
            detail: "",
        };
    }

    private rememberAttempt(attemptId: string): void {
        this.seenAttempts.add(attemptId);
        if (this.seenAttempts.size > MAX_SEEN_ATTEMPTS) {
            const [oldest] = this.seenAttempts;
            this.seenAttempts.delete(oldest ?? attemptId);
        }
    }
}
