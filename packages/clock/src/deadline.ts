import { WAIT_OVER } from "./abortReasons.js";
import type { Clock, Millis } from "./clock.js";

/** The outcome of waiting for work under a deadline. */
export type TimedResult<T> = { readonly kind: "done"; readonly value: T; } | { readonly kind: "timeout"; };

/** Waits for `work` for at most `limit`; the work itself is not cancelled. */
export const withTimeout = async <T>(clock: Clock, limit: Millis, work: Promise<T>): Promise<TimedResult<T>> => {
    const abort = new AbortController();
    const timeout = clock.sleep(limit, abort.signal).then((): TimedResult<T> => ({ kind: "timeout" }));
    try {
        return await Promise.race([work.then((value): TimedResult<T> => ({ kind: "done", value })), timeout]);
    }
    finally {
        abort.abort(WAIT_OVER);
    }
};
