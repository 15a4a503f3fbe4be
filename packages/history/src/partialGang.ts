import type { TaskRun } from "@persimmonpitch/backing/runRecord.js";

/** The longest time for which an attempt ran with some but not all of its members. */
export interface PartialSpan {
    readonly from: number;
    readonly to: number;
    readonly members: number;
}

/** A member that finished its work is not missing, so it counts until the whole attempt has ended. */
const presentUntil = (run: TaskRun, attemptEnd: number): number =>
    run.state === "finished" ? attemptEnd : run.endedAt ?? attemptEnd;

/** Finds the longest span in which an attempt of `size` members ran with a part of them, up to `observedUntil`. */
export const longestPartialSpan = (
    runs: readonly TaskRun[],
    size: number,
    observedUntil: number,
): PartialSpan | undefined => {
    const attemptEnd = Math.max(...runs.map(run => run.endedAt ?? observedUntil));
    const present = runs.map(run => ({ from: run.startedAt, to: presentUntil(run, attemptEnd) }));
    const times = [...new Set(present.flatMap(({ from, to }) => [from, to]))].sort((a, b) => a - b);
    let longest: PartialSpan | undefined;
    let current: PartialSpan | undefined;
    for (const [index, from] of times.entries()) {
        const to = times[index + 1] ?? from;
        const members = present.filter(span => span.from <= from && span.to > from).length;
        if (members === 0 || members >= size) {
            current = undefined;
            continue;
        }
        current = { from: current?.from ?? from, to, members: Math.min(members, current?.members ?? members) };
        if (longest === undefined || current.to - current.from > longest.to - longest.from) {
            longest = current;
        }
    }
    return longest;
};
