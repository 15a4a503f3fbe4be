/** A duration or a point in time, in milliseconds. */
export type Millis = number;

/**
 * The only source of time in the system.
 * Deadlines and leases are compared on `now`, which never goes back; `wallTime` is for records that people read.
 */
export interface Clock {
    /** Monotonic time since an arbitrary start. */
    now(): Millis;
    /** Time since the Unix epoch. */
    wallTime(): Millis;
    /** Resolves after `duration`, or at once when `signal` aborts. */
    sleep(duration: Millis, signal?: AbortSignal): Promise<void>;
}
