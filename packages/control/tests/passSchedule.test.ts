import type { Millis } from "@persimmonpitch/clock/clock.js";
import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import t from "tap";
import type { PassUrgency } from "../src/passSchedule.js";
import { PassSchedule } from "../src/passSchedule.js";

t.formatSnapshot = formatSnapshot;

const DURATION_MS: Millis = 2_000;
const EVENT_INTERVAL_MS: Millis = 10;

interface ScheduleCase {
    readonly guardsAgainst: string;
    readonly passMs: Millis;
    readonly events: PassUrgency | undefined;
}

const CASES: readonly ScheduleCase[] = [
    { guardsAgainst: "fast passes that wait without need", passMs: 1, events: "normal" },
    { guardsAgainst: "slow passes that leave no time to answer requesters", passMs: 60, events: "normal" },
    { guardsAgainst: "urgent work that waits for the share of other work", passMs: 60, events: "urgent" },
    { guardsAgainst: "due times that are missed while nothing happens", passMs: 1, events: undefined },
];

/** Runs passes of the given duration for a while, with an event at a fixed interval, and returns their load. */
const runPasses = async ({ passMs, events }: ScheduleCase) => {
    const clock = new FakeClock();
    const schedule = new PassSchedule(clock);
    const stopped = new AbortController();
    const running = (async () => {
        while (!stopped.signal.aborted) {
            schedule.begin();
            await clock.sleep(passMs);
            schedule.end();
            await schedule.waitUntilDue(stopped.signal);
        }
    })();
    for (let elapsed = 0; elapsed < DURATION_MS; elapsed += EVENT_INTERVAL_MS) {
        if (events !== undefined) {
            schedule.request(events);
        }
        await clock.advance(EVENT_INTERVAL_MS);
    }
    const load = schedule.takeLoad();
    stopped.abort();
    await clock.advance(passMs);
    await running;
    return load;
};

void t.test("passes are paced by their own time", async t => {
    const loads: Record<string, object> = {};
    for (const scheduleCase of CASES) {
        const { passes, totalMs } = await runPasses(scheduleCase);
        loads[scheduleCase.guardsAgainst] = { passes, share: Math.round(100 * totalMs / DURATION_MS) / 100 };
    }
    t.matchSnapshot(loads);
});
