/** Admission control: decides whether a new request is admitted, queued or shed. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RequestQueue } from "./requestQueue.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { ServiceStatistics } from "./serviceStatistics.js";

/** Why a request was shed. A request that is shed on arrival was not run, whatever the reason. */
export type ShedReason =
    /** The deadline had already passed on arrival. */
    | "deadlinePassed"
    /** The answer is expected after the deadline. */
    | "deadlineUnreachable"
    /** The team has the maximum number of waiting requests. */
    | "teamQueueFull"
    /** No endpoint of the service is ready and healthy, or an earlier attempt has used each of them. */
    | "noEndpoint"
    /** No attempt ran, and the retry budget is exhausted. */
    | "retryBudgetSpent";

/** Refuses the request; the caller may retry after `retryAfterMs`. */
export interface ShedDecision {
    readonly kind: "shed";
    readonly reason: ShedReason;
    readonly retryAfterMs: Millis;
}

/** Decision on a new request. */
export type AdmissionDecision =
    | ShedDecision
    | { readonly kind: "admit"; }
    | { readonly kind: "queue"; readonly expectedWaitMs: Millis; };

export interface AdmissionOptions {
    /** Disabled only for comparisons: a request is shed for its deadline only after the deadline has passed. */
    readonly deadlineShedding: boolean;
    /** Maximum expected wait as a fraction of the slack before the deadline; the rest is a reserve for bursts. */
    readonly maxWaitSlackFraction: number;
    /** Retry delay while no endpoint is usable; circuit breakers and new endpoints change that within seconds. */
    readonly noEndpointRetryAfterMs: Millis;
    readonly minRetryAfterMs: Millis;
    readonly maxRetryAfterMs: Millis;
}

export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions = {
    deadlineShedding: true,
    maxWaitSlackFraction: 0.5,
    noEndpointRetryAfterMs: 5_000,
    minRetryAfterMs: 100,
    maxRetryAfterMs: 30_000,
};

/** State of the service on which the decision depends. */
export interface AdmissionState {
    readonly queue: RequestQueue;
    readonly statistics: ServiceStatistics;
    /** Endpoints that are ready and healthy. */
    readonly usableEndpoints: number;
    readonly hasFreeSlot: boolean;
    /** Slots occupied by requests of this entry, which determine the rate at which its queue drains. */
    readonly busySlots: number;
}

/** Creates a decision to shed a request, with the retry delay clamped to its bounds. */
export const createShedDecision = (
    reason: ShedReason,
    retryAfterMs: Millis,
    options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS,
): ShedDecision => ({
    kind: "shed",
    reason,
    retryAfterMs: Math.ceil(Math.min(options.maxRetryAfterMs, Math.max(options.minRetryAfterMs, retryAfterMs))),
});

/**
 * Expected time until a new request gets a slot.
 * The team's queue drains with its recent share of the slots, or with its fair share if that is larger.
 */
export const expectedWaitMs = (request: RoutedRequest, { queue, statistics, busySlots }: AdmissionState): Millis => {
    const { workClass, team } = request;
    const { minimumShare } = queue.options;
    const availableShare = statistics.shareAvailableTo(workClass)
        - minimumShare * queue.countWaitingClassesBelow(workClass);
    const fairShare = Math.max(minimumShare, availableShare) * queue.fairShareOf(team, workClass);
    const share = Math.max(fairShare, statistics.queueShare(workClass, queue.queueKey(team)), Number.EPSILON);
    return queue.expectedWorkMs(team, workClass) / (Math.max(1, busySlots) * share);
};

/** Whether a request that is sent now is expected to be answered before its deadline. */
export const canMeetDeadline = (
    request: RoutedRequest,
    statistics: ServiceStatistics,
    now: Millis,
    options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS,
): boolean =>
    now + (options.deadlineShedding ? statistics.conservativeServiceMs(request.workClass) : 0) < request.deadline;

export const decideAdmission = (
    request: RoutedRequest,
    state: AdmissionState,
    now: Millis,
    options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS,
): AdmissionDecision => {
    const { queue, statistics } = state;
    if (request.deadline <= now) {
        return createShedDecision("deadlinePassed", 0, options);
    }
    if (state.usableEndpoints === 0) {
        return createShedDecision("noEndpoint", options.noEndpointRetryAfterMs, options);
    }
    // The deadline is not checked while a slot is free: only answers correct the estimate of the service time, so
    // shedding every request would preserve a wrong one.
    if (state.hasFreeSlot && queue.length === 0) {
        return { kind: "admit" };
    }
    if (!canMeetDeadline(request, statistics, now, options)) {
        return createShedDecision("deadlineUnreachable", expectedWaitMs(request, state), options);
    }
    const waitMs = expectedWaitMs(request, state);
    if (!queue.hasCapacityFor(request.team)) {
        return createShedDecision("teamQueueFull", waitMs / 2, options);
    }
    const maxWaitMs = (request.deadline - now - statistics.conservativeServiceMs(request.workClass))
        * options.maxWaitSlackFraction;
    return options.deadlineShedding && waitMs > maxWaitMs
        ? createShedDecision("deadlineUnreachable", waitMs - maxWaitMs, options)
        : { kind: "queue", expectedWaitMs: waitMs };
};
