import type { Clock, Millis } from "./clock.js";

const sleep = (duration: Millis, signal?: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve();
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, duration);
        signal?.addEventListener("abort", finish);
    });

/** The clock of the operating system. */
export const systemClock: Clock = {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    sleep,
};
