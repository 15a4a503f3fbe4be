import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { WorkClass } from "@persimmonpitch/schema/job.js";

/** A direct request as the routing decisions see it. */
export interface RoutedRequest {
    readonly requestId: string;
    readonly team: string;
    readonly workClass: WorkClass;
    readonly idempotent: boolean;
    /** Monotonic time after which the caller no longer waits. */
    readonly deadline: Millis;
    /** Endpoints on which an attempt ran or may have run; a refusal as busy excludes no endpoint. */
    readonly tried: ReadonlySet<string>;
    /** An earlier attempt failed or its outcome is unknown; the caller must not be told that nothing ran. */
    readonly mayHaveRun: boolean;
}
