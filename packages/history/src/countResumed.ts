import type { TaskRun } from "@persimmonpitch/backing/runRecord.js";

type Runs = readonly TaskRun[];

const byAttempt = (taskRuns: Runs): readonly Runs[] => {
    const attempts = new Map<string, TaskRun[]>();
    for (const run of taskRuns) {
        const runs = attempts.get(run.attemptId) ?? [];
        runs.push(run);
        attempts.set(run.attemptId, runs);
    }
    return [...attempts.values()];
};

const goesOnAfter = (runs: Runs, earlier: Runs): boolean => {
    const startedAt = Math.min(...runs.map(run => run.startedAt));
    const checkpoints = new Set(earlier.map(run => run.checkpoint));
    return earlier.every(run => run.checkpoint !== undefined && (run.endedAt ?? Infinity) <= startedAt)
        && runs.every(run => run.resumedFrom !== undefined && checkpoints.has(run.resumedFrom));
};

/**
 * Attempts that go on from the checkpoint that every member of an earlier attempt wrote when it was stopped.
 * They repeat no work, so they are no new starts; each earlier attempt can be continued by one other only.
 */
export const countResumed = (taskRuns: Runs): number => {
    const attempts = byAttempt(taskRuns);
    const continued = new Set<Runs>();
    let resumed = 0;
    for (const runs of attempts) {
        const earlier = attempts.find(other => other !== runs && !continued.has(other) && goesOnAfter(runs, other));
        if (earlier !== undefined) {
            continued.add(earlier);
            resumed += 1;
        }
    }
    return resumed;
};
