/** Ejects endpoints with a high failure rate from routing, up to a fraction of the endpoints of a service. */
import type { Millis } from "@persimmonpitch/clock/clock.js";

export interface OutlierEjectionOptions {
    /** Failure rate within one window from which an endpoint is ejected. */
    readonly failureRateThreshold: number;
    /** Outcomes within one window below which the failure rate is not significant. */
    readonly minOutcomes: number;
    readonly windowMs: Millis;
    /** Duration of the first ejection; the nth consecutive one lasts n times as long. */
    readonly baseEjectionMs: Millis;
    readonly maxEjectionMs: Millis;
    /** Largest fraction of the endpoints of a service that may be ejected at the same time. */
    readonly maxEjectedFraction: number;
}

export const DEFAULT_OUTLIER_EJECTION_OPTIONS: OutlierEjectionOptions = {
    failureRateThreshold: 0.5,
    minOutcomes: 10,
    windowMs: 10_000,
    baseEjectionMs: 10_000,
    maxEjectionMs: 120_000,
    // If more than a third fail, the cause is probably common to all, and ejection would only concentrate the load.
    maxEjectedFraction: 1 / 3,
};

interface EndpointHealth {
    readonly windowStart: Millis;
    readonly successes: number;
    readonly failures: number;
    readonly ejectedUntil: Millis;
    readonly consecutiveEjections: number;
}

const INITIAL_HEALTH: EndpointHealth = {
    windowStart: -Infinity,
    successes: 0,
    failures: 0,
    ejectedUntil: -Infinity,
    consecutiveEjections: 0,
};

/** Outlier ejection for the endpoints of one service. */
export class OutlierEjection {
    private readonly healthByVmId = new Map<string, EndpointHealth>();

    constructor(private readonly options: OutlierEjectionOptions = DEFAULT_OUTLIER_EJECTION_OPTIONS) {}

    /** Adds an endpoint; `maxEjectedFraction` applies to the number of added endpoints. */
    addEndpoint(vmId: string): void {
        this.healthByVmId.set(vmId, this.healthByVmId.get(vmId) ?? INITIAL_HEALTH);
    }

    /** Removes an endpoint and ends the ejections that now exceed `maxEjectedFraction`. */
    removeEndpoint(vmId: string, now: Millis): void {
        this.healthByVmId.delete(vmId);
        const excess = this.ejectedVmIds(now).length - this.maxEjected();
        this.ejectedVmIds(now).slice(0, Math.max(0, excess)).forEach(ejected => {
            this.update(ejected, health => ({ ...health, ejectedUntil: now }));
        });
    }

    isEjected(vmId: string, now: Millis): boolean {
        return (this.healthByVmId.get(vmId) ?? INITIAL_HEALTH).ejectedUntil > now;
    }

    /** VMs of the ejected endpoints, by the end of their ejection, the earliest first. */
    ejectedVmIds(now: Millis): readonly string[] {
        return [...this.healthByVmId]
            .filter(([, health]) => health.ejectedUntil > now)
            .sort(([, a], [, b]) => a.ejectedUntil - b.ejectedUntil)
            .map(([vmId]) => vmId);
    }

    /** Records the outcome of a request; ejects the endpoint if it is an outlier and `maxEjectedFraction` permits. */
    recordOutcome(vmId: string, succeeded: boolean, now: Millis): void {
        this.update(vmId, health => {
            const isNewWindow = now - health.windowStart >= this.options.windowMs;
            const window = isNewWindow ? { ...health, windowStart: now, successes: 0, failures: 0 } : health;
            return succeeded
                ? { ...window, successes: window.successes + 1 }
                : { ...window, failures: window.failures + 1 };
        });
        const health = this.healthByVmId.get(vmId);
        if (health !== undefined && this.isOutlier(health) && this.canEject(vmId, now)) {
            this.eject(vmId, now);
        }
    }

    private isOutlier({ successes, failures }: EndpointHealth): boolean {
        const outcomes = successes + failures;
        return outcomes >= this.options.minOutcomes && failures / outcomes >= this.options.failureRateThreshold;
    }

    private canEject(vmId: string, now: Millis): boolean {
        return !this.isEjected(vmId, now) && this.ejectedVmIds(now).length < this.maxEjected();
    }

    private eject(vmId: string, now: Millis): void {
        this.update(vmId, health => {
            const wasEjectedRecently = now - health.ejectedUntil < this.options.maxEjectionMs;
            const consecutiveEjections = wasEjectedRecently ? health.consecutiveEjections + 1 : 1;
            const ejectionMs = Math.min(this.options.maxEjectionMs, this.options.baseEjectionMs * consecutiveEjections);
            return { ...INITIAL_HEALTH, ejectedUntil: now + ejectionMs, consecutiveEjections };
        });
    }

    private maxEjected(): number {
        return Math.floor(this.healthByVmId.size * this.options.maxEjectedFraction);
    }

    private update(vmId: string, change: (health: EndpointHealth) => EndpointHealth): void {
        const health = this.healthByVmId.get(vmId);
        if (health !== undefined) {
            this.healthByVmId.set(vmId, change(health));
        }
    }
}
