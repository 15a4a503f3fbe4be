// The check of rule TWICE, from what the executors saw.

/** Says where two runs of one task were at work at the same time. */
export const findOverlap = events => {
    const running = new Map();
    for (const { what, details } of events) {
        const runs = running.get(details.task) ?? [];
        if (what === "start") {
            if (runs.length > 0) {
                return `run ${details.run} of ${details.task} began on ${details.executor} while run ${runs[0].run} went on `
                    + `on ${runs[0].executor}`;
            }
            running.set(details.task, [...runs, details]);
        }
        else {
            running.set(details.task, runs.filter(({ run }) => run !== details.run));
        }
    }
    return undefined;
};
