import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { runPass } from "@persimmonpitch/dispatch/dispatchPass.js";
import type { LogFields } from "@persimmonpitch/logging/logger.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { clusterConfigSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import t from "tap";
import { ConfigHolder } from "../src/configHolder.js";
import { JobLog } from "../src/jobLog.js";
import { NOTHING_STORED } from "../src/jobProgressRows.js";
import { OpenJob } from "../src/openJob.js";

const STORE_CLOCK_OFFSET_MS = 50_000;

const render = {
    ...{ name: "render", host: "", pathPrefix: "", service: "desk", maxAttempts: 3, priority: 0 },
    ...{ slackFactor: 1.5, targetLatencyMs: 300 },
};
const config = clusterConfigSchema.parse({ version: 1, queues: [render], services: [], teams: [] });

const createOpenJob = (steps: readonly object[], acceptedAt: number): OpenJob => {
    const job = stepJobSchema.parse({ jobId: "a", queue: "render", payload: "", steps, acceptedAt });
    return new OpenJob(job, NOTHING_STORED);
};

const createJobLog = (clock: FakeClock) => {
    const lines: LogFields[] = [];
    const configs = new ConfigHolder(silentLogger);
    configs.applyIfNewer(config);
    const log = new JobLog({
        logger: { ...silentLogger, log: (_level, event, fields) => lines.push({ event, ...fields }) },
        clock,
        config: configs,
        storeClockOffsetMs: () => STORE_CLOCK_OFFSET_MS,
    });
    return { log, lines };
};

void t.test("the end line of a job tells waiting for capacity from stops and losses", async t => {
    const clock = new FakeClock();
    const { log, lines } = createJobLog(clock);
    const openJob = createOpenJob([{ count: 2, demand: {} }], clock.now() + STORE_CLOCK_OFFSET_MS);
    await clock.advance(1_200);
    openJob.runStats.recordOrder(clock.now());
    openJob.runStats.recordOrder(clock.now());
    openJob.runStats.recordStop("preempted");
    openJob.runStats.recordEnd("stopped");
    openJob.runStats.recordLoss();
    openJob.runStats.recordOrder(clock.now());
    openJob.runStats.recordOrder(clock.now());
    openJob.runStats.recordDuration(0, 3_000);
    openJob.runStats.recordEnd("done");
    openJob.runStats.recordEnd("done");
    openJob.finish("completed");
    await clock.advance(3_700);
    log.logEnd(openJob);
    t.matchSnapshot(lines.map(line => JSON.stringify(line)).join("\n"), "late by a stop and a loss");
});

void t.test("a waiting step is logged only after 4, 8 and 16 s", async t => {
    const clock = new FakeClock();
    const { log, lines } = createJobLog(clock);
    const { job, progress } = createOpenJob(
        [{ count: 2, demand: { accelerators: 8 }, declaredMs: 2_000 }],
        clock.now(),
    );
    for (let step = 0; step < 80; step += 1) {
        const { waiting } = runPass({
            ...{
                now: clock.now(),
                wallTime: 0,
                timings: timingsSchema.parse({}),
                teams: [],
                samples: [],
                executors: [],
            },
            jobs: config.queues.map(queue => ({ job, progress, queue })),
        });
        log.logWaiting(waiting);
        await clock.advance(250);
    }
    log.logWaiting([]);
    t.matchSnapshot(lines.map(line => JSON.stringify(line)).join("\n"), "a job without an executor");
});
