import type { TaskRun } from "@persimmonpitch/backing/runRecord.js";

/** Two runs that held the same accelerator at the same time. */
export interface DeviceOverlap {
    readonly vmId: string;
    readonly device: number;
    readonly first: TaskRun;
    readonly second: TaskRun;
}

const endOf = (run: TaskRun): number => run.endedAt ?? Infinity;

/** Finds accelerators that were held twice; a run that starts when another ends does not overlap it. */
export const deviceOverlaps = (runs: readonly TaskRun[]): readonly DeviceOverlap[] => {
    const byDevice = new Map<string, { readonly vmId: string; readonly device: number; readonly runs: TaskRun[]; }>();
    for (const run of runs) {
        for (const device of run.devices) {
            const key = `${run.vmId}/${device}`;
            const held = byDevice.get(key) ?? { vmId: run.vmId, device, runs: [] };
            held.runs.push(run);
            byDevice.set(key, held);
        }
    }
    return [...byDevice.values()].flatMap(({ vmId, device, runs: held }) =>
        overlapsOf(held).map(([first, second]) => ({ vmId, device, first, second }))
    );
};

/** Compares each run with the one that holds the accelerator for longest among those before it. */
const overlapsOf = (runs: readonly TaskRun[]): readonly (readonly [TaskRun, TaskRun])[] => {
    const sorted = runs.toSorted((a, b) => a.startedAt - b.startedAt || endOf(a) - endOf(b));
    const overlaps: (readonly [TaskRun, TaskRun])[] = [];
    let longest: TaskRun | undefined;
    for (const run of sorted) {
        if (longest !== undefined && run.startedAt < endOf(longest)) {
            overlaps.push([longest, run]);
        }
        if (longest === undefined || endOf(run) > endOf(longest)) {
            longest = run;
        }
    }
    return overlaps;
};
