/** Routes the direct requests to one service in one entry: admission, queueing, choice of endpoints and retries. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { AdmissionDecision, AdmissionOptions, AdmissionState, ShedDecision } from "./admission.js";
import {
    canMeetDeadline,
    createShedDecision,
    decideAdmission,
    DEFAULT_ADMISSION_OPTIONS,
    expectedWaitMs,
} from "./admission.js";
import type { ChoiceOptions, RandomPair } from "./chooseEndpoint.js";
import { chooseEndpoint, DEFAULT_CHOICE_OPTIONS } from "./chooseEndpoint.js";
import type { CircuitBreakerOptions } from "./circuitBreaker.js";
import { CircuitBreaker, DEFAULT_CIRCUIT_BREAKER_OPTIONS } from "./circuitBreaker.js";
import type { Endpoint, EndpointRegistration, EndpointState, LoadReport } from "./endpoint.js";
import {
    createEndpoint,
    hasFreeCapacity,
    withBusyRefusal,
    withLoadReport,
    withRequestEnded,
    withRequestSent,
} from "./endpoint.js";
import type { OutlierEjectionOptions } from "./outlierEjection.js";
import { DEFAULT_OUTLIER_EJECTION_OPTIONS, OutlierEjection } from "./outlierEjection.js";
import type { RequestQueueOptions } from "./requestQueue.js";
import { DEFAULT_REQUEST_QUEUE_OPTIONS, RequestQueue } from "./requestQueue.js";
import type { RetryBudgetOptions } from "./retryBudget.js";
import { DEFAULT_RETRY_BUDGET_OPTIONS, RetryBudget } from "./retryBudget.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { ServiceStatisticsOptions } from "./serviceStatistics.js";
import { DEFAULT_SERVICE_STATISTICS_OPTIONS, ServiceStatistics } from "./serviceStatistics.js";

export interface RoutingOptions {
    readonly endpointChoice: ChoiceOptions;
    readonly queue: RequestQueueOptions;
    readonly admission: AdmissionOptions;
    readonly retryBudget: RetryBudgetOptions;
    readonly circuitBreaker: CircuitBreakerOptions;
    readonly outlierEjection: OutlierEjectionOptions;
    readonly serviceStatistics: ServiceStatisticsOptions;
}

export const DEFAULT_ROUTING_OPTIONS: RoutingOptions = {
    endpointChoice: DEFAULT_CHOICE_OPTIONS,
    queue: DEFAULT_REQUEST_QUEUE_OPTIONS,
    admission: DEFAULT_ADMISSION_OPTIONS,
    retryBudget: DEFAULT_RETRY_BUDGET_OPTIONS,
    circuitBreaker: DEFAULT_CIRCUIT_BREAKER_OPTIONS,
    outlierEjection: DEFAULT_OUTLIER_EJECTION_OPTIONS,
    serviceStatistics: DEFAULT_SERVICE_STATISTICS_OPTIONS,
};

/** Outcome of an attempt. */
export type AttemptOutcome =
    | "answered"
    /** The executor ran the request, and the run failed. */
    | "failed"
    /** The agent refused the request because all slots or connections were in use; the request was not run. */
    | "busy"
    /** The agent refused the request because the executor is leaving; the request was not run. */
    | "leaving"
    /** The connection was closed or the attempt timed out without an answer; the request may have run. */
    | "unknown";

/** A waiting request that was shed; its `mayHaveRun` tells whether an earlier attempt may have run. */
export interface ShedResult {
    readonly kind: "shed";
    readonly request: RoutedRequest;
    readonly decision: ShedDecision;
}

/** Result of one iteration of the dispatch loop. */
export type DispatchResult =
    | {
        readonly kind: "send";
        readonly request: RoutedRequest;
        readonly endpoint: Endpoint;
        /** Whether the endpoint is in another data centre. */
        readonly crossDataCentre: boolean;
    }
    | ShedResult
    /** No request can be sent until an attempt ends, a load report arrives or a request is submitted. */
    | { readonly kind: "idle"; };

/** Decision after the end of an attempt. */
export type AttemptDecision =
    /** The outcome is returned to the caller. */
    | { readonly kind: "final"; }
    /** The request is back at the front of its queue for another attempt. */
    | { readonly kind: "retried"; }
    /** No attempt ran, and there is no further attempt. */
    | { readonly kind: "shed"; readonly decision: ShedDecision; };

interface TrackedEndpoint {
    endpoint: Endpoint;
    readonly breaker: CircuitBreaker;
}

interface OutcomeHandler {
    /** Whether the attempt certainly did not run. */
    readonly didNotRun: boolean;
    readonly isRetryable: (request: RoutedRequest) => boolean;
    readonly recordOutcome: (router: ServiceRouter, vmId: string, now: Millis) => void;
}

const OUTCOME_HANDLERS: { readonly [K in AttemptOutcome]: OutcomeHandler; } = {
    answered: {
        didNotRun: false,
        isRetryable: () => false,
        recordOutcome: (router, vmId, now) => {
            router.recordHealth(vmId, true, now);
        },
    },
    failed: {
        didNotRun: false,
        isRetryable: request => request.idempotent,
        recordOutcome: (router, vmId, now) => {
            router.recordHealth(vmId, false, now);
        },
    },
    busy: {
        didNotRun: true,
        isRetryable: () => true,
        recordOutcome: (router, vmId, now) => {
            router.recordBusyRefusal(vmId, now);
        },
    },
    leaving: {
        didNotRun: true,
        isRetryable: () => true,
        recordOutcome: (router, vmId, now) => {
            router.setEndpointState(vmId, "leaving", now);
        },
    },
    unknown: {
        didNotRun: false,
        isRetryable: request => request.idempotent,
        recordOutcome: (router, vmId, now) => {
            router.recordHealth(vmId, false, now);
        },
    },
};

/** Router of one service in one entry. */
export class ServiceRouter {
    private readonly trackedEndpoints = new Map<string, TrackedEndpoint>();
    private readonly queue: RequestQueue;
    private readonly retryBudget: RetryBudget;
    private readonly outlierEjection: OutlierEjection;
    private readonly statistics: ServiceStatistics;

    constructor(
        private readonly service: string,
        private readonly dataCentre: string,
        now: Millis,
        private readonly options: RoutingOptions = DEFAULT_ROUTING_OPTIONS,
    ) {
        this.queue = new RequestQueue(options.queue);
        this.retryBudget = new RetryBudget(now, options.retryBudget);
        this.outlierEjection = new OutlierEjection(options.outlierEjection);
        this.statistics = new ServiceStatistics(options.serviceStatistics);
    }

    /** Number of waiting requests. */
    get queueLength(): number {
        return this.queue.length;
    }

    /** Adds an endpoint, or replaces one whose VM has restarted. Attempts on the replaced endpoint must have ended. */
    registerEndpoint(registration: EndpointRegistration): void {
        const breaker = new CircuitBreaker(this.options.circuitBreaker);
        this.trackedEndpoints.set(registration.vmId, { endpoint: createEndpoint(registration), breaker });
        this.outlierEjection.addEndpoint(registration.vmId);
    }

    recordLoadReport(vmId: string, report: LoadReport): void {
        this.updateEndpoint(vmId, endpoint => withLoadReport(endpoint, report));
    }

    /** Changes the state of an endpoint; a lost endpoint is removed. */
    setEndpointState(vmId: string, state: EndpointState, now: Millis): void {
        this.updateEndpoint(vmId, endpoint => ({ ...endpoint, state }));
        if (state === "lost") {
            this.trackedEndpoints.delete(vmId);
            this.outlierEjection.removeEndpoint(vmId, now);
        }
    }

    /** Decides on a new request and enqueues it unless it is shed. */
    submit(request: RoutedRequest, now: Millis): AdmissionDecision {
        const decision = decideAdmission(request, this.admissionState(now), now, this.options.admission);
        if (decision.kind !== "shed") {
            this.retryBudget.recordRequest();
            this.queue.enqueue(request, this.statistics.expectedServiceMs(request.workClass));
        }
        return decision;
    }

    /** Chooses an endpoint for the next waiting request, or sheds it; to be called until it returns `idle`. */
    dispatchNext(now: Millis, random: RandomPair): DispatchResult {
        if (!this.hasFreeSlot(now)) {
            return { kind: "idle" };
        }
        const queued = this.queue.dequeue();
        if (queued === undefined) {
            return { kind: "idle" };
        }
        const { request } = queued;
        if (!this.shouldSend(request, now)) {
            return this.shedResult(request, "deadlineUnreachable", now);
        }
        const choice = chooseEndpoint(
            this.endpointList(),
            this.endpointCriteria(request, now, random),
            now,
            this.options.endpointChoice,
        );
        if (choice.kind === "none") {
            return this.shedResult(request, "noEndpoint", now);
        }
        if (choice.kind === "full") {
            this.queue.requeue(request, queued.expectedServiceMs);
            return { kind: "idle" };
        }
        this.recordDispatch(request, choice.endpoint.vmId, now);
        return { kind: "send", request, endpoint: choice.endpoint, crossDataCentre: choice.crossDataCentre };
    }

    /** Records the end of an attempt and decides whether the request is retried. */
    completeAttempt(
        request: RoutedRequest,
        vmId: string,
        outcome: AttemptOutcome,
        sentAt: Millis,
        now: Millis,
    ): AttemptDecision {
        this.updateEndpoint(vmId, withRequestEnded);
        const handler = OUTCOME_HANDLERS[outcome];
        handler.recordOutcome(this, vmId, now);
        // Without an answer, the elapsed time is only a lower bound of the service time, which says nothing while it is
        // below the mean.
        const exceedsExpectedTime = outcome === "unknown"
            && now - sentAt > this.statistics.expectedServiceMs(request.workClass);
        if (outcome === "answered" || exceedsExpectedTime) {
            this.statistics.recordServiceTime(request.workClass, now - sentAt);
        }
        if (!handler.isRetryable(request)) {
            return { kind: "final" };
        }
        if (this.retryBudget.tryAcquireRetry(now)) {
            const retried = handler.didNotRun
                ? request
                : { ...request, attemptedEndpoints: new Set([...request.attemptedEndpoints, vmId]), mayHaveRun: true };
            this.queue.requeue(retried, this.statistics.expectedServiceMs(request.workClass));
            return { kind: "retried" };
        }
        return handler.didNotRun && !request.mayHaveRun
            ? { kind: "shed", decision: createShedDecision("retryBudgetSpent", 0, this.options.admission) }
            : { kind: "final" };
    }

    /** Removes and returns the waiting requests whose deadline can no longer be met. */
    removeExpired(now: Millis): readonly ShedResult[] {
        return this.queue
            .removeWhere(request => !canMeetDeadline(request, this.statistics, now, this.options.admission))
            .map(request => this.shedResult(request, "deadlineUnreachable", now));
    }

    /** Records an answer or a failure in the endpoint's circuit breaker and in outlier ejection. */
    recordHealth(vmId: string, succeeded: boolean, now: Millis): void {
        const breaker = this.trackedEndpoints.get(vmId)?.breaker;
        if (succeeded) {
            breaker?.recordSuccess();
        }
        else {
            breaker?.recordFailure(now);
        }
        this.outlierEjection.recordOutcome(vmId, succeeded, now);
    }

    /** Records a refusal for lack of slots or connections, which is no evidence of the endpoint's health. */
    recordBusyRefusal(vmId: string, now: Millis): void {
        this.updateEndpoint(vmId, endpoint => withBusyRefusal(endpoint, now));
        this.trackedEndpoints.get(vmId)?.breaker.recordInconclusiveProbe(now);
    }

    private shedResult(request: RoutedRequest, reason: "deadlineUnreachable" | "noEndpoint", now: Millis): ShedResult {
        const retryAfterMs = reason === "noEndpoint"
            ? this.options.admission.noEndpointRetryAfterMs
            : expectedWaitMs(request, this.admissionState(now));
        return { kind: "shed", request, decision: createShedDecision(reason, retryAfterMs, this.options.admission) };
    }

    /** If no other request waits, one that may miss its deadline is still sent: only answers correct the estimate. */
    private shouldSend(request: RoutedRequest, now: Millis): boolean {
        return this.queue.length === 0
            ? now < request.deadline
            : canMeetDeadline(request, this.statistics, now, this.options.admission);
    }

    private recordDispatch(request: RoutedRequest, vmId: string, now: Millis): void {
        this.updateEndpoint(vmId, withRequestSent);
        this.trackedEndpoints.get(vmId)?.breaker.recordSent(now);
        this.statistics.recordDispatch(request.workClass, this.queue.queueKey(request.team), now);
    }

    private endpointCriteria(request: RoutedRequest, now: Millis, random: RandomPair) {
        return {
            service: this.service,
            localDataCentre: this.dataCentre,
            excludedEndpoints: request.attemptedEndpoints,
            isHealthy: (vmId: string) => this.isHealthy(vmId, now),
            expectedLocalWaitMs: this.expectedLocalWaitMs(request),
            random,
        };
    }

    private expectedLocalWaitMs(request: RoutedRequest): Millis {
        const localEndpoints = this.endpointList().filter(endpoint =>
            endpoint.dataCentre === this.dataCentre && endpoint.state === "ready"
        );
        const localInFlight = localEndpoints.reduce((sum, endpoint) => sum + endpoint.ownInFlight, 0);
        return localInFlight === 0 ? Infinity : this.statistics.expectedServiceMs(request.workClass) / localInFlight;
    }

    private admissionState(now: Millis): AdmissionState {
        return {
            queue: this.queue,
            statistics: this.statistics,
            usableEndpoints:
                this.endpointList().filter(endpoint => endpoint.state === "ready" && this.isHealthy(endpoint.vmId, now))
                    .length,
            hasFreeSlot: this.hasFreeSlot(now),
            busySlots: this.endpointList().reduce((sum, endpoint) => sum + endpoint.ownInFlight, 0),
        };
    }

    private hasFreeSlot(now: Millis): boolean {
        return this.endpointList().some(endpoint =>
            hasFreeCapacity(endpoint, now) && this.isHealthy(endpoint.vmId, now)
        );
    }

    private isHealthy(vmId: string, now: Millis): boolean {
        return this.trackedEndpoints.get(vmId)?.breaker.allowsRequest(now) === true
            && !this.outlierEjection.isEjected(vmId, now);
    }

    private endpointList(): readonly Endpoint[] {
        return [...this.trackedEndpoints.values()].map(({ endpoint }) => endpoint);
    }

    private updateEndpoint(vmId: string, change: (endpoint: Endpoint) => Endpoint): void {
        const tracked = this.trackedEndpoints.get(vmId);
        if (tracked !== undefined) {
            tracked.endpoint = change(tracked.endpoint);
        }
    }
}
