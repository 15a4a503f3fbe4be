import type { Millis } from "@persimmonpitch/clock/clock.js";
import { LATE_FACTOR } from "@persimmonpitch/dispatch/occurrenceForecasts.js";
import type { Queue } from "@persimmonpitch/workload/clusterConfig.js";
import type { Submission } from "@persimmonpitch/workload/stepJob.js";
import type { JobWork } from "./jobWork.js";
import { jobWorkOf, priorityClassOf, valuePerWork } from "./jobWork.js";
import type { LoadRow, PriorityLoad, ServiceLoad } from "./loadRow.js";

/** An older row says too little about the present load. */
export const MAX_FORECAST_AGE_MS: Millis = 5_000;

/**
 * Share of the forecast wait that counts as certain. Run times of a queue vary by a factor of about 1.5 around their
 * estimate, and stops and failures free accelerators early.
 */
const CERTAIN_WAIT_SHARE = 0.7;

/** A job that an entry accepted after the forecast. */
export interface RecentAcceptance {
    readonly service: string;
    readonly priority: number;
    readonly accelerators: number;
    readonly acceleratorSeconds: number;
    /** By the clock of the store. */
    readonly at: Millis;
}

/** Everything that the decision on a submission depends on. */
export interface AdmissionView {
    /** By the clock of the store. */
    readonly now: Millis;
    readonly forecast: LoadRow | undefined;
    /** Number of entries that accept jobs. */
    readonly entries: number;
    readonly queue: Queue;
    readonly submission: Submission;
    /** Jobs that this entry accepted, including those before the forecast. */
    readonly accepted: readonly RecentAcceptance[];
    /** Whether the job is within what the guarantee of its team leaves; evaluated only if it would be refused. */
    readonly isWithinGuarantee: () => boolean;
}

/** Figures that a decision is based on. */
export interface AdmissionFigures {
    readonly ageMs: Millis;
    readonly totalAccelerators: number;
    /** Free accelerators less those that the entries are expected to have given away since the forecast. */
    readonly freeAccelerators: number;
    /** Time that the cluster needs for the work ahead of the job. */
    readonly waitMs: Millis;
    /** Time in which the job ends, with the certain share of the wait. */
    readonly endMs: Millis;
    /** Time after which the job earns nothing. */
    readonly limitMs: Millis;
    readonly acceleratorSeconds: number;
    readonly value: number;
}

/** Why a job is accepted. */
export type AcceptReason =
    | "noForecast"
    | "oldForecast"
    | "unknownService"
    /** A long-running or repeated job has no deadline that the present load decides. */
    | "noDeadline"
    | "noAccelerators"
    | "unknownRunTime"
    /** No known executor is large enough; one may be added. */
    | "exceedsExecutors"
    | "fits"
    /** Accepted work that has not started earns less for each accelerator-second. */
    | "lessValuableWaits"
    | "useful"
    | "guaranteed";

/** Why a job is refused: it would end too late to earn anything. */
export type RefuseReason = "tooLate";

export type AdmissionDecision =
    | { readonly kind: "accept"; readonly reason: AcceptReason; }
    | { readonly kind: "refuse"; readonly reason: RefuseReason; readonly figures: AdmissionFigures; };

interface Context {
    readonly view: AdmissionView;
    readonly service: ServiceLoad;
    readonly work: JobWork;
    /** Jobs of the service that this entry accepted since the forecast. */
    readonly recent: readonly RecentAcceptance[];
    readonly value: number;
    readonly figures: AdmissionFigures;
}

const accept = (reason: AcceptReason): AdmissionDecision => ({ kind: "accept", reason });

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

const waitAheadMs = (
    { totalAccelerators, priorities }: ServiceLoad,
    recent: readonly RecentAcceptance[],
    priorityClass: number,
): Millis => {
    const ahead = sum(
        priorities.filter(({ priority }) => priority <= priorityClass).map(({ running, waiting }) => running + waiting),
    );
    const acceptedHere = sum(
        recent.filter(({ priority }) => priorityClassOf(priority) <= priorityClass)
            .map(({ acceleratorSeconds }) => acceleratorSeconds),
    );
    return totalAccelerators > 0 ? 1_000 * (ahead + acceptedHere) / totalAccelerators : Infinity;
};

const findPriority = ({ priorities }: ServiceLoad, priorityClass: number): PriorityLoad | undefined =>
    priorities.find(({ priority }) => priority === priorityClass);

const contextOf = (view: AdmissionView, forecast: LoadRow, service: ServiceLoad): Context => {
    const { queue, submission, entries, accepted, now } = view;
    const priorityClass = priorityClassOf(queue.priority);
    const typicalMs = findPriority(service, priorityClass)?.pathMs ?? 0;
    const work = jobWorkOf(submission, typicalMs);
    const recent = accepted.filter(({ at, service: name }) => at > forecast.at && name === service.name);
    const value = valuePerWork(queue.priority, work.acceleratorSeconds);
    const takenAccelerators = entries * sum(recent.map(({ accelerators }) => accelerators));
    const freeAccelerators = Math.max(0, service.freeAccelerators - takenAccelerators);
    const waitMs = waitAheadMs(service, recent, priorityClass);
    // Declared run times are often too short, which would make the deadline too early.
    const pathMs = Math.max(work.pathMs, typicalMs);
    return {
        view,
        service,
        work,
        recent,
        value,
        figures: {
            ageMs: Math.round(now - forecast.at),
            totalAccelerators: service.totalAccelerators,
            freeAccelerators,
            waitMs,
            endMs: CERTAIN_WAIT_SHARE * waitMs + pathMs,
            limitMs: LATE_FACTOR * (queue.slackFactor * pathMs + queue.targetLatencyMs),
            acceleratorSeconds: work.acceleratorSeconds,
            value,
        },
    };
};

type AcceptRules = {
    readonly [K in Exclude<AcceptReason, "noForecast" | "oldForecast" | "unknownService" | "useful" | "guaranteed">]: (
        context: Context,
    ) => boolean;
};

/** Conditions under which a job is accepted whatever the forecast says of its end, in the order of their evaluation. */
const ACCEPT_RULES: AcceptRules = {
    noDeadline: ({ view: { submission } }) =>
        submission.repetition !== undefined || submission.steps.some(({ isLongRunning }) => isLongRunning),
    noAccelerators: ({ work }) => work.accelerators === 0,
    unknownRunTime: ({ work }) => work.pathMs === 0,
    exceedsExecutors: ({ work, service }) => work.largestTask > service.largestExecutor,
    fits: ({ work, figures }) => work.accelerators <= figures.freeAccelerators,
    lessValuableWaits: ({ service, recent, value }) =>
        service.priorities.some(({ leastValue }) => leastValue !== undefined && leastValue < value)
        || recent.some(({ priority, acceleratorSeconds }) => valuePerWork(priority, acceleratorSeconds) < value),
};

type RefuseRules = { readonly [K in RefuseReason]: (context: Context) => boolean; };

const REFUSE_RULES: RefuseRules = {
    tooLate: ({ figures: { endMs, limitMs } }) => endMs > limitMs,
};

const findRule = <Rules extends Readonly<Record<string, (context: Context) => boolean>>>(
    rules: Rules,
    context: Context,
): keyof Rules | undefined => Object.keys(rules).find(name => rules[name]?.(context));

/**
 * Decides whether a job that is not stored yet is accepted. It addresses a saturated cluster, where a job that ends too
 * late to earn anything takes accelerators from others. Every doubt is decided in favour of the job.
 */
export const decideAdmission = (view: AdmissionView): AdmissionDecision => {
    const { forecast, now, queue } = view;
    if (forecast === undefined) {
        return accept("noForecast");
    }
    // A time far in the future comes from a clock of the store that was set back.
    if (Math.abs(now - forecast.at) > MAX_FORECAST_AGE_MS) {
        return accept("oldForecast");
    }
    const service = forecast.services.find(({ name }) => name === queue.service);
    if (service === undefined || service.totalAccelerators === 0) {
        return accept("unknownService");
    }
    const context = contextOf(view, forecast, service);
    const acceptReason = findRule(ACCEPT_RULES, context);
    if (acceptReason !== undefined) {
        return accept(acceptReason);
    }
    const refuseReason = findRule(REFUSE_RULES, context);
    if (refuseReason === undefined) {
        return accept("useful");
    }
    return view.isWithinGuarantee()
        ? accept("guaranteed")
        : { kind: "refuse", reason: refuseReason, figures: context.figures };
};

/** Time until the work ahead of a new job of the queue is done; 0 if it is not known. */
export const forecastWaitMs = (forecast: LoadRow | undefined, { service: name, priority }: Queue): Millis => {
    const service = forecast?.services.find(one => one.name === name);
    const waitMs = service === undefined ? 0 : waitAheadMs(service, [], priorityClassOf(priority));
    return Number.isFinite(waitMs) ? waitMs : 0;
};
