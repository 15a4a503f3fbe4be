import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { DirectEntry } from "./directEntry.js";
import type { DirectExecutor } from "./directExecutor.js";
import { usefulMs } from "./directJudgement.js";
import type { DirectRecord } from "./directRecord.js";
import { createRecord } from "./directRecord.js";
import type { DirectPolicy, DirectReplayOptions } from "./directSettings.js";
import { ENTRIES, LEAVING_EXECUTOR, SLOTS, USABLE_EXECUTORS } from "./directSettings.js";
import type { DirectCounters } from "./directSurroundings.js";
import { DirectSurroundings } from "./directSurroundings.js";
import { DIRECT_KINDS, directTrace, seededRandom } from "./directTrace.js";
import { EventLoop } from "./eventLoop.js";
import { QueueingEntry } from "./queueingEntry.js";
import { RoutingEntry } from "./routingEntry.js";

const REPORT_INTERVAL_MS: Millis = 1_000;
const SWEEP_INTERVAL_MS: Millis = 100;

const roundRobin = () => {
    let next = 0;
    return (executors: readonly DirectExecutor[]) => {
        next += 1;
        return executors[next % executors.length];
    };
};

const ENTRY_OF: { readonly [K in DirectPolicy]: (index: number, around: DirectSurroundings) => DirectEntry; } = {
    routing: (index, around) => new RoutingEntry(index, around),
    randomFifo: (index, around) =>
        new QueueingEntry(index, around, executors => executors[Math.floor(around.random() * executors.length)]),
    roundRobin: (index, around) => new QueueingEntry(index, around, roundRobin()),
};

const startReports = (around: DirectSurroundings, entries: readonly DirectEntry[]): void => {
    const { loop, network, executors } = around;
    executors.forEach(executor => {
        const report = () => {
            const load = executor.load();
            entries.forEach((entry, index) => {
                network.betweenVms(executor.dataCentre, index, () => {
                    entry.report(executor, load);
                });
            });
            loop.after(REPORT_INTERVAL_MS, report);
        };
        loop.after(around.random() * REPORT_INTERVAL_MS, report);
    });
    entries.forEach(entry => {
        const sweep = () => {
            entry.sweep();
            loop.after(SWEEP_INTERVAL_MS, sweep);
        };
        loop.after(SWEEP_INTERVAL_MS, sweep);
    });
};

const startLeaving = (around: DirectSurroundings, entries: readonly DirectEntry[], at: Millis): void => {
    const executor = around.executors[LEAVING_EXECUTOR];
    around.loop.after(at, () => {
        if (executor === undefined) {
            return;
        }
        executor.leavingSince = around.loop.now;
        entries.forEach((entry, index) => {
            around.network.betweenVms(executor.dataCentre, index, () => {
                entry.leaving(executor);
            });
        });
    });
};

/** What happened in one replay, to the requests that arrived in the measured time. */
export interface DirectResult {
    readonly records: readonly DirectRecord[];
    readonly counters: Readonly<DirectCounters>;
    /** Work of the answers that came within their deadline and within the measured time. */
    readonly usefulMs: Millis;
    /** Time that healthy slots were there to use. */
    readonly capacityMs: Millis;
}

/** Replays direct requests on simulated time through the routing decisions. */
export const replayDirect = (options: DirectReplayOptions): DirectResult => {
    const loop = new EventLoop();
    const around = new DirectSurroundings(loop, seededRandom(options.seed + 1_000_003), options);
    const entries = Array.from({ length: ENTRIES }, (unused, index) => ENTRY_OF[options.policy](index, around));
    // Arrivals go on after the measured time, so that the requests of its end wait under the same load as the others.
    const runMs = options.durationMs + longestTimeoutMs();
    const trace = directTrace({ ...options, durationMs: runMs, slots: USABLE_EXECUTORS * SLOTS, entries: ENTRIES });
    const records = trace.map(createRecord);
    startReports(around, entries);
    startLeaving(around, entries, options.durationMs / 2);
    records.forEach(record => {
        loop.after(record.arrival.at, () => {
            around.network.toOrFromClient(() => entries[record.arrival.entry]?.submit(record));
        });
    });
    loop.runUntil(runMs);
    return {
        records: records.filter(({ arrival }) => arrival.at < options.durationMs),
        counters: around.counters,
        usefulMs: usefulMs(records.filter(({ arrival, elapsedMs }) => arrival.at + elapsedMs < options.durationMs)),
        capacityMs: USABLE_EXECUTORS * SLOTS * options.durationMs,
    };
};

const longestTimeoutMs = (): Millis => Math.max(...Object.values(DIRECT_KINDS).map(({ timeoutMs }) => timeoutMs));
