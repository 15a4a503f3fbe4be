import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { SERVICE, teamToken } from "./configurationBody.js";
import type { TestEntry } from "./testbed.js";
import { callEntry } from "./testbed.js";

/** Answers of a load so far. */
export interface LoadAnswers {
    readonly answered: number;
    readonly failed: number;
}

/** A load of direct requests that goes on until it is stopped. */
export interface DirectLoad {
    stop(): Promise<LoadAnswers>;
}

const BODY = "x".repeat(1_024);
const TIMEOUT_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** The interval between requests at a rate; undefined for no requests. */
export const requestsEverySecond = (rate: number): number | undefined => rate === 0 ? undefined : MS_PER_SECOND / rate;

/** Sends an idempotent direct request at every interval. */
export const callRepeatedly = (entry: TestEntry, intervalMs: number | undefined): DirectLoad => {
    const stop = new AbortController();
    const calls: Promise<boolean>[] = [];
    const call = async (index: number): Promise<boolean> => {
        const body = {
            workClass: "interactive",
            idempotent: true,
            requestKey: `request-${index}`,
            timeoutMs: TIMEOUT_MS,
            body: BODY,
        };
        const path = `/v1/services/${SERVICE}/requests`;
        return callEntry(entry, { method: "POST", path, token: teamToken(0), body }).then(() => true, () => false);
    };
    const run = async (): Promise<void> => {
        for (let index = 0; intervalMs !== undefined && !stop.signal.aborted; index += 1) {
            calls.push(call(index));
            await systemClock.sleep(intervalMs, stop.signal);
        }
    };
    const ran = run();
    return {
        stop: async () => {
            stop.abort();
            await ran;
            const results = await Promise.all(calls);
            const answered = results.filter(isAnswered => isAnswered).length;
            return { answered, failed: results.length - answered };
        },
    };
};
