/** Estimates service times and queue shares of one service, for admission control against deadlines. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { WorkClass } from "@persimmonpitch/schema/job.js";
import type { PerWorkClass } from "./workClasses.js";
import { createPerWorkClass, higherPriorityClasses, WORK_CLASSES } from "./workClasses.js";

export interface ServiceStatisticsOptions {
    /** Service time assumed before the first answer. */
    readonly initialServiceMs: Millis;
    /** Weight of a new sample in the moving average of service times; the mean deviation uses half of it. */
    readonly smoothingFactor: number;
    /** Mean deviations added to the mean service time when a deadline is checked. */
    readonly deadlineDeviations: number;
    /** Time constant of the exponential decay of dispatched work, from which shares are computed. */
    readonly shareTimeConstantMs: Millis;
}

export const DEFAULT_SERVICE_STATISTICS_OPTIONS: ServiceStatisticsOptions = {
    initialServiceMs: 200,
    smoothingFactor: 0.05,
    // Factor of TCP's retransmission timeout; it covers 98% of log-normal service times with sigma 0.5.
    deadlineDeviations: 4,
    shareTimeConstantMs: 2_000,
};

interface SmoothedServiceTime {
    readonly mean: Millis;
    readonly deviation: Millis;
}

/** Service times and dispatched work of one service, as measured by one entry. */
export class ServiceStatistics {
    private readonly serviceTimes: PerWorkClass<SmoothedServiceTime | undefined> = createPerWorkClass(() => undefined);
    /** Dispatched work by queue, with exponential decay. */
    private readonly dispatchedWork: PerWorkClass<Map<string, number>> = createPerWorkClass(() => new Map());
    private decayedAt: Millis = 0;

    constructor(private readonly options: ServiceStatisticsOptions = DEFAULT_SERVICE_STATISTICS_OPTIONS) {}

    /** Records the time between sending a request and its answer. */
    recordServiceTime(workClass: WorkClass, serviceMs: Millis): void {
        const { smoothingFactor } = this.options;
        const { mean, deviation } = this.serviceTimes[workClass] ?? { mean: serviceMs, deviation: serviceMs / 2 };
        this.serviceTimes[workClass] = {
            mean: mean + smoothingFactor * (serviceMs - mean),
            deviation: deviation + smoothingFactor / 2 * (Math.abs(serviceMs - mean) - deviation),
        };
    }

    /** Adds the expected work of a dispatched request to the queue that it came from. */
    recordDispatch(workClass: WorkClass, queueKey: string, now: Millis): void {
        const decayFactor = Math.exp(-Math.max(0, now - this.decayedAt) / this.options.shareTimeConstantMs);
        WORK_CLASSES.forEach(decayedClass => {
            this.dispatchedWork[decayedClass].forEach((work, key, workByQueue) =>
                workByQueue.set(key, work * decayFactor)
            );
        });
        this.decayedAt = Math.max(now, this.decayedAt);
        const workByQueue = this.dispatchedWork[workClass];
        workByQueue.set(queueKey, (workByQueue.get(queueKey) ?? 0) + this.expectedServiceMs(workClass));
    }

    /** Mean service time of the class. */
    expectedServiceMs(workClass: WorkClass): Millis {
        return this.serviceTimes[workClass]?.mean ?? this.options.initialServiceMs;
    }

    /** Upper estimate of the service time, which most requests of the class do not exceed. */
    conservativeServiceMs(workClass: WorkClass): Millis {
        const serviceTime = this.serviceTimes[workClass];
        return serviceTime === undefined
            ? this.options.initialServiceMs
            : serviceTime.mean + this.options.deadlineDeviations * serviceTime.deviation;
    }

    /** Share of the recently dispatched work that does not belong to classes of higher priority. */
    shareAvailableTo(workClass: WorkClass): number {
        const total = this.totalDispatchedWork(WORK_CLASSES);
        return total === 0 ? 1 : 1 - this.totalDispatchedWork(higherPriorityClasses(workClass)) / total;
    }

    /** Share of the recently dispatched work that came from one queue of a class. */
    queueShare(workClass: WorkClass, queueKey: string): number {
        const total = this.totalDispatchedWork(WORK_CLASSES);
        return total === 0 ? 0 : (this.dispatchedWork[workClass].get(queueKey) ?? 0) / total;
    }

    private totalDispatchedWork(workClasses: readonly WorkClass[]): number {
        let sum = 0;
        workClasses.forEach(workClass => {
            this.dispatchedWork[workClass].forEach(work => {
                sum += work;
            });
        });
        return sum;
    }
}
