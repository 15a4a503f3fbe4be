import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { EntryToAgentMethods, RequestRefusal } from "@persimmonpitch/protocol/agentMessages.js";
import type { CallError } from "@persimmonpitch/protocol/connection.js";
import { digestOf } from "@persimmonpitch/protocol/digest.js";
import type { ResultOf } from "@persimmonpitch/protocol/method.js";
import type { RoutedRequest } from "@persimmonpitch/routing/routedRequest.js";
import type { AttemptOutcome } from "@persimmonpitch/routing/serviceRouter.js";
import { ServiceRouter } from "@persimmonpitch/routing/serviceRouter.js";
import type { DirectAnswer } from "@persimmonpitch/schema/apiAnswers.js";
import type { DirectRequestBody } from "@persimmonpitch/schema/directRequest.js";
import type { Ran } from "@persimmonpitch/schema/job.js";
import { randomUUID } from "node:crypto";
import type { Result } from "true-myth";
import type { AgentConnection } from "./agentRegistry.js";

type RunAnswer = ResultOf<EntryToAgentMethods["request.run"]>;

/**
 * Returns the sequence number of the history record of a request's outcome. A non-idempotent request has a record of
 * its claim before it.
 */
export const outcomeRecordSequence = (idempotent: boolean): number => idempotent ? 0 : 1;

/** Outcome of a direct request, as returned to its caller. */
export type DirectRequestOutcome =
    | { readonly kind: "answered"; readonly answer: DirectAnswer; readonly attemptId: string; readonly vmId: string; }
    | {
        readonly kind: "refused";
        readonly code: string;
        readonly ran: Ran;
        readonly detail: string;
        readonly retryAfterMs?: Millis;
    };

/** An executor that is connected to this entry. */
export interface ConnectedExecutor {
    readonly vmId: string;
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly service: string;
    readonly connection: AgentConnection;
}

/** Load and availability of an executor, as reported by its agent. */
export interface ExecutorLoad {
    readonly inFlight: number;
    readonly leaving: boolean;
}

/** Dependencies of the dispatcher; the limits are functions because the configuration changes. */
export interface DirectRequestDispatcherOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly monitor: InvariantMonitor;
    readonly dataCentre: string;
    readonly slotsPerExecutor: () => number;
    readonly connectionsPerExecutor: () => number;
    readonly random: () => number;
}

/** A request whose caller waits for the outcome, queued or with an attempt in progress. */
interface PendingRequest {
    readonly request: RoutedRequest;
    readonly team: string;
    readonly body: DirectRequestBody;
    readonly complete: (outcome: DirectRequestOutcome) => void;
}

/** State of one service in this entry. */
interface ServiceState {
    readonly name: string;
    readonly router: ServiceRouter;
    readonly executors: Map<string, ConnectedExecutor>;
    /** By request id. */
    readonly pendingRequests: Map<string, PendingRequest>;
    /** Ids of the most recent requests that were answered as not run. */
    readonly reportedNotRun: Set<string>;
    /** Monotonic time at which each leaving executor first reported that it leaves, by VM. */
    readonly leavingSince: Map<string, Millis>;
    readonly wakeSignal: WakeSignal;
}

/** Interval at which the deadlines of pending requests are checked. */
const EXPIRY_CHECK_INTERVAL_MS: Millis = 50;
const IDLE_CHECK_INTERVAL_MS: Millis = 1_000;

/** Time added to the timeout of a call beyond the request's deadline, for the answer to cross the network. */
const ANSWER_TIMEOUT_MARGIN_MS: Millis = 500;

/** Time after which a leaving executor must receive no new requests. */
const LEAVING_PROPAGATION_LIMIT_MS: Millis = 3_000;

/** Number of requests remembered for each service as reported not run, to detect a later answer that shows a run. */
const MAX_REPORTED_NOT_RUN = 10_000;

/** Result of an attempt by reason of refusal. For a duplicate the result is unknown: the first copy may have run. */
const REFUSAL_RESULTS: Readonly<Record<RequestRefusal, { readonly outcome: AttemptOutcome; readonly ran: Ran; }>> = {
    busy: { outcome: "busy", ran: "no" },
    leaving: { outcome: "leaving", ran: "no" },
    expired: { outcome: "busy", ran: "no" },
    duplicate: { outcome: "unknown", ran: "unknown" },
    tooManyRecords: { outcome: "busy", ran: "no" },
};

/**
 * Dispatches direct requests to the executors of their services. Each service has one dispatch task, and each attempt
 * has one task that waits for the executor's answer.
 */
export class DirectRequestDispatcher {
    private readonly services = new Map<string, ServiceState>();
    private activeCount = 0;

    constructor(private readonly options: DirectRequestDispatcherOptions, private readonly signal: AbortSignal) {}

    /** Number of requests that are queued or have an attempt in progress. */
    get activeRequestCount(): number {
        return this.activeCount;
    }

    hasService(name: string): boolean {
        return this.services.has(name);
    }

    /** Adds or updates an executor with its last reported load, and wakes the dispatch task of its service. */
    updateExecutor(executor: ConnectedExecutor, load: ExecutorLoad): void {
        const { vmId } = executor;
        const service = this.getService(executor.service);
        const known = service.executors.get(vmId);
        service.executors.set(vmId, executor);
        if (known?.connection !== executor.connection) {
            this.registerEndpoint(service, executor);
        }
        const now = this.options.clock.now();
        service.router.recordLoadReport(vmId, { inFlight: load.inFlight, connections: load.inFlight, at: now });
        if (load.leaving) {
            service.leavingSince.set(vmId, service.leavingSince.get(vmId) ?? now);
            service.router.setEndpointState(vmId, "leaving", now);
        }
        service.wakeSignal.wake();
    }

    removeExecutor(serviceName: string, vmId: string): void {
        const service = this.getService(serviceName);
        service.executors.delete(vmId);
        service.leavingSince.delete(vmId);
        service.router.setEndpointState(vmId, "lost", this.options.clock.now());
        service.wakeSignal.wake();
    }

    /** Runs one request and returns its outcome. */
    async run(
        serviceName: string,
        team: string,
        requestId: string,
        body: DirectRequestBody,
    ): Promise<DirectRequestOutcome> {
        this.activeCount += 1;
        try {
            return await this.submit(this.getService(serviceName), team, requestId, body);
        }
        finally {
            this.activeCount -= 1;
        }
    }

    private registerEndpoint({ router }: ServiceState, { vmId, dataCentre, service }: ConnectedExecutor): void {
        const slots = this.options.slotsPerExecutor();
        const connections = this.options.connectionsPerExecutor();
        router.registerEndpoint({ vmId, dataCentre, service, slots, connections });
    }

    private submit(
        service: ServiceState,
        team: string,
        requestId: string,
        body: DirectRequestBody,
    ): Promise<DirectRequestOutcome> {
        const now = this.options.clock.now();
        const request: RoutedRequest = {
            requestId,
            team,
            workClass: body.workClass,
            idempotent: body.idempotent,
            deadline: now + body.timeoutMs,
            attemptedEndpoints: new Set(),
            mayHaveRun: false,
        };
        const decision = service.router.submit(request, now);
        if (decision.kind === "shed") {
            const { reason, retryAfterMs } = decision;
            const detail = "The request was refused before it was sent to an executor.";
            return Promise.resolve({ kind: "refused", code: reason, ran: "no", detail, retryAfterMs });
        }
        return new Promise(complete => {
            service.pendingRequests.set(requestId, { request, team, body, complete });
            service.wakeSignal.wake();
        });
    }

    private getService(name: string): ServiceState {
        const known = this.services.get(name);
        if (known !== undefined) {
            return known;
        }
        const service: ServiceState = {
            name,
            router: new ServiceRouter(name, this.options.dataCentre, this.options.clock.now()),
            executors: new Map(),
            pendingRequests: new Map(),
            reportedNotRun: new Set(),
            leavingSince: new Map(),
            wakeSignal: new WakeSignal(),
        };
        this.services.set(name, service);
        void this.runDispatchLoop(service);
        return service;
    }

    /** Dispatches the requests of one service and refuses expired ones until the process shuts down. */
    private async runDispatchLoop(service: ServiceState): Promise<void> {
        const { clock } = this.options;
        while (!this.signal.aborted) {
            this.dispatchQueuedRequests(service);
            for (const shed of service.router.removeExpired(clock.now())) {
                this.refuseRequest(service, shed.request, shed.decision.reason, shed.decision.retryAfterMs);
            }
            await service.wakeSignal.wait(
                clock,
                service.pendingRequests.size > 0 ? EXPIRY_CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS,
                this.signal,
            );
        }
    }

    private dispatchQueuedRequests(service: ServiceState): void {
        const { clock, random } = this.options;
        for (;;) {
            const result = service.router.dispatchNext(clock.now(), [random(), random()]);
            if (result.kind === "idle") {
                return;
            }
            if (result.kind === "shed") {
                this.refuseRequest(service, result.request, result.decision.reason, result.decision.retryAfterMs);
            }
            else {
                void this.runAttempt(service, result.request, result.endpoint.vmId);
            }
        }
    }

    private refuseRequest(service: ServiceState, request: RoutedRequest, code: string, retryAfterMs: Millis): void {
        const ran = request.mayHaveRun ? "unknown" : "no";
        const detail = request.mayHaveRun
            ? "An attempt failed or stayed without an answer, and there was no time or budget for another."
            : "No executor could run the request in time.";
        this.completeRequest(service, request.requestId, { kind: "refused", code, ran, detail, retryAfterMs });
    }

    private completeRequest(service: ServiceState, requestId: string, outcome: DirectRequestOutcome): void {
        if (outcome.kind === "refused" && outcome.ran === "no") {
            service.reportedNotRun.add(requestId);
            const [oldest] = service.reportedNotRun;
            if (service.reportedNotRun.size > MAX_REPORTED_NOT_RUN) {
                service.reportedNotRun.delete(oldest ?? requestId);
            }
        }
        service.pendingRequests.get(requestId)?.complete(outcome);
        service.pendingRequests.delete(requestId);
    }

    /** Sends one attempt to an executor, waits for its result and passes the result to the router. */
    private async runAttempt(service: ServiceState, request: RoutedRequest, vmId: string): Promise<void> {
        const { clock, logger } = this.options;
        const pending = service.pendingRequests.get(request.requestId);
        const executor = service.executors.get(vmId);
        if (pending === undefined || executor === undefined) {
            service.router.completeAttempt(request, vmId, "busy", clock.now(), clock.now());
            return;
        }
        const sentAt = clock.now();
        const attemptId = `${request.requestId}.${randomUUID().slice(0, 8)}`;
        const answer = await this.sendAttempt(service, executor, pending, request, attemptId);
        if (answer.isOk) {
            const { inFlight } = answer.value;
            service.router.recordLoadReport(vmId, { inFlight, connections: inFlight, at: clock.now() });
        }
        const result = interpretAnswer(answer, request.requestId);
        this.checkInvariants(service, request, vmId, result);
        const decision = service.router.completeAttempt(request, vmId, result.outcome, sentAt, clock.now());
        if (result.outcome !== "answered") {
            logger.log("info", "request.attemptFailed", {
                request: request.requestId,
                vm: vmId,
                outcome: result.outcome,
                detail: result.detail,
            });
        }
        if (result.answer !== undefined) {
            const { requestKey } = pending.body;
            const { text, length, digest } = result.answer;
            const directAnswer = { requestId: request.requestId, requestKey, body: text, length, sha256: digest };
            this.completeRequest(service, request.requestId, {
                kind: "answered",
                answer: directAnswer,
                attemptId,
                vmId,
            });
        }
        else if (decision.kind === "shed") {
            this.refuseRequest(service, request, decision.decision.reason, decision.decision.retryAfterMs);
        }
        else if (decision.kind === "final") {
            const ran = result.ran === "no" && request.mayHaveRun ? "unknown" : result.ran;
            this.completeRequest(service, request.requestId, {
                kind: "refused",
                code: "executorFailed",
                ran,
                detail: result.detail,
            });
        }
        service.wakeSignal.wake();
    }

    /** Reports breaches of invariants that the result of an attempt reveals. */
    private checkInvariants(service: ServiceState, request: RoutedRequest, vmId: string, result: AttemptResult): void {
        const { monitor, clock } = this.options;
        const fields = { request: request.requestId, vm: vmId };
        if (result.isCorrupt) {
            monitor.report("I3", fields);
        }
        if (
            !service.pendingRequests.has(request.requestId) && result.ran !== "no"
            && service.reportedNotRun.has(request.requestId)
        ) {
            monitor.report("I4", fields);
        }
        const leavingSince = service.leavingSince.get(vmId);
        if (
            result.isLeavingRefusal && leavingSince !== undefined
            && clock.now() - leavingSince > LEAVING_PROPAGATION_LIMIT_MS
        ) {
            monitor.report("I6", fields);
        }
    }

    private sendAttempt(
        service: ServiceState,
        { connection }: ConnectedExecutor,
        { team, body }: PendingRequest,
        request: RoutedRequest,
        attemptId: string,
    ): Promise<Result<RunAnswer, CallError>> {
        const timeLeftMs = Math.max(0, request.deadline - this.options.clock.now());
        return connection.call("request.run", {
            requestId: request.requestId,
            attemptId,
            team,
            service: service.name,
            requestKey: body.requestKey,
            recordSequence: outcomeRecordSequence(body.idempotent),
            body: body.body,
            length: Buffer.byteLength(body.body),
            digest: digestOf(body.body),
            timeLeftMs,
        }, timeLeftMs + ANSWER_TIMEOUT_MARGIN_MS);
    }
}

interface AttemptResult {
    readonly outcome: AttemptOutcome;
    readonly ran: Ran;
    readonly detail: string;
    /** Whether the answer is incomplete, fails its digest or belongs to another request. */
    readonly isCorrupt?: boolean;
    readonly isLeavingRefusal?: boolean;
    readonly answer?: { readonly text: string; readonly length: number; readonly digest: string; };
}

/** Converts the answer to an attempt, or the error of its call, to the result of the attempt. */
const interpretAnswer = (answer: Result<RunAnswer, CallError>, requestId: string): AttemptResult => {
    if (answer.isErr) {
        return answer.error.kind === "notSent"
            ? { outcome: "busy", ran: "no", detail: answer.error.detail }
            : { outcome: "unknown", ran: "unknown", detail: answer.error.detail };
    }
    const outcome = answer.value.outcome;
    switch (outcome.kind) {
        case "refused":
            return {
                ...REFUSAL_RESULTS[outcome.reason],
                detail: `The agent refused: ${outcome.reason}.`,
                isLeavingRefusal: outcome.reason === "leaving",
            };
        case "failed":
            return outcome.ran === "no"
                ? { outcome: "busy", ran: "no", detail: outcome.detail }
                : { outcome: "unknown", ran: outcome.ran, detail: outcome.detail };
        case "answered": {
            const { answer: text, length, digest } = outcome;
            const isIntact = outcome.requestId === requestId && length === Buffer.byteLength(text)
                && digest === digestOf(text);
            return isIntact
                ? { outcome: "answered", ran: "yes", detail: "", answer: { text, length, digest } }
                : {
                    outcome: "unknown",
                    ran: "yes",
                    detail: "The answer is damaged or belongs to another request.",
                    isCorrupt: true,
                };
        }
        default:
            return outcome satisfies never;
    }
};
