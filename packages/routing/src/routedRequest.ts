import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { WorkClass } from "@persimmonpitch/schema/job.js";

/** Properties of a direct request on which routing depends. */
export interface RoutedRequest {
    readonly requestId: string;
    readonly team: string;
    readonly workClass: WorkClass;
    readonly idempotent: boolean;
    /** Monotonic time at which the caller stops waiting. */
    readonly deadline: Millis;
    /** Endpoints on which an attempt ran or may have run. An endpoint that refused the request is not included. */
    readonly attemptedEndpoints: ReadonlySet<string>;
    /** An earlier attempt failed or has an unknown outcome; the caller must not be told that nothing was run. */
    readonly mayHaveRun: boolean;
}
