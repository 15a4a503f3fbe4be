import { WAIT_OVER } from "./abortReasons.js";

/**
 * Does work under a signal that aborts as soon as one of `signals` does, and at the latest when the work is over.
 * Unlike `AbortSignal.any`, it leaves nothing behind in a signal that lives as long as the process.
 */
export const withAnySignal = async <T>(
    signals: readonly AbortSignal[],
    work: (signal: AbortSignal) => Promise<T>,
): Promise<T> => {
    const either = new AbortController();
    const abort = () => {
        either.abort(WAIT_OVER);
    };
    for (const signal of signals) {
        signal.addEventListener("abort", abort);
    }
    if (signals.some(signal => signal.aborted)) {
        abort();
    }
    try {
        return await work(either.signal);
    }
    finally {
        for (const signal of signals) {
            signal.removeEventListener("abort", abort);
        }
        abort();
    }
};
