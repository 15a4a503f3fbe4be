/** Takes endpoints out of routing that fail far more than they answer, but never more than a share of a service. */
import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Options of the ejection. */
export interface OutlierEjectionOptions {
    /** Share of the failures among the outcomes of one window that ejects an endpoint. */
    readonly failureShare: number;
    /** Outcomes below which a window says too little. */
    readonly minimumOutcomes: number;
    readonly windowMs: Millis;
    /** First time of an ejection; each further one in a row adds as much again. */
    readonly ejectionMs: Millis;
    readonly maxEjectionMs: Millis;
    /** Largest share of the endpoints of a service that may be ejected at once. */
    readonly maxEjectedShare: number;
}

export const DEFAULT_OUTLIER_EJECTION_OPTIONS: OutlierEjectionOptions = {
    failureShare: 0.5,
    minimumOutcomes: 10,
    windowMs: 10_000,
    ejectionMs: 10_000,
    maxEjectionMs: 120_000,
    // When more than a third fail, the cause is most likely common to all of them and ejection only concentrates load.
    maxEjectedShare: 1 / 3,
};

interface EndpointRecord {
    readonly windowStart: Millis;
    readonly successes: number;
    readonly failures: number;
    readonly ejectedUntil: Millis;
    readonly ejections: number;
}

const NEW_RECORD: EndpointRecord = {
    windowStart: -Infinity,
    successes: 0,
    failures: 0,
    ejectedUntil: -Infinity,
    ejections: 0,
};

/** The ejections of one service. */
export class OutlierEjection {
    private readonly records = new Map<string, EndpointRecord>();

    constructor(private readonly options: OutlierEjectionOptions = DEFAULT_OUTLIER_EJECTION_OPTIONS) {}

    /** Adds an endpoint; only known endpoints count towards the share that may be ejected. */
    add(vmId: string): void {
        this.records.set(vmId, this.records.get(vmId) ?? NEW_RECORD);
    }

    /** Forgets an endpoint that has left, and returns ejected ones that now exceed the share. */
    remove(vmId: string, now: Millis): void {
        this.records.delete(vmId);
        const surplus = this.ejectedAt(now).length - this.limit();
        this.ejectedAt(now).slice(0, Math.max(0, surplus)).forEach(ejected => {
            this.update(ejected, record => ({ ...record, ejectedUntil: now }));
        });
    }

    isEjected(vmId: string, now: Millis): boolean {
        return (this.records.get(vmId) ?? NEW_RECORD).ejectedUntil > now;
    }

    /** Ejected endpoints, the one due back first at the front. */
    ejectedAt(now: Millis): readonly string[] {
        return [...this.records]
            .filter(([, record]) => record.ejectedUntil > now)
            .sort(([, a], [, b]) => a.ejectedUntil - b.ejectedUntil)
            .map(([vmId]) => vmId);
    }

    /** Counts the outcome of one request, and ejects the endpoint if it is an outlier and the share allows it. */
    record(vmId: string, succeeded: boolean, now: Millis): void {
        this.update(vmId, record => {
            const isNewWindow = now - record.windowStart >= this.options.windowMs;
            const window = isNewWindow ? { ...record, windowStart: now, successes: 0, failures: 0 } : record;
            return succeeded
                ? { ...window, successes: window.successes + 1 }
                : { ...window, failures: window.failures + 1 };
        });
        const record = this.records.get(vmId);
        if (record !== undefined && this.isOutlier(record) && this.mayEject(vmId, now)) {
            this.eject(vmId, now);
        }
    }

    private isOutlier({ successes, failures }: EndpointRecord): boolean {
        const outcomes = successes + failures;
        return outcomes >= this.options.minimumOutcomes && failures / outcomes >= this.options.failureShare;
    }

    private mayEject(vmId: string, now: Millis): boolean {
        return !this.isEjected(vmId, now) && this.ejectedAt(now).length < this.limit();
    }

    private eject(vmId: string, now: Millis): void {
        this.update(vmId, record => {
            const wasRecent = now - record.ejectedUntil < this.options.maxEjectionMs;
            const ejections = wasRecent ? record.ejections + 1 : 1;
            const duration = Math.min(this.options.maxEjectionMs, this.options.ejectionMs * ejections);
            return { ...NEW_RECORD, ejectedUntil: now + duration, ejections };
        });
    }

    private limit(): number {
        return Math.floor(this.records.size * this.options.maxEjectedShare);
    }

    private update(vmId: string, change: (record: EndpointRecord) => EndpointRecord): void {
        const record = this.records.get(vmId);
        if (record !== undefined) {
            this.records.set(vmId, change(record));
        }
    }
}
