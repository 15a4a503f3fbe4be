type Line = readonly [intercept: number, slope: number];
type Figures = Readonly<Record<string, Line>>;

const ofProcess = (prefix: string, lines: readonly [Line, Line, Line, Line]): Figures => ({
    [`${prefix} core %`]: lines[0],
    [`${prefix} resident MB`]: lines[1],
    [`${prefix} sent B/s`]: lines[2],
    [`${prefix} received B/s`]: lines[3],
});

/** Lines of made-up figures, with round numbers so that the results can be checked by hand. */
export const PLANNED_FIGURES: Readonly<Record<string, Figures>> = {
    agentIdle: ofProcess("agent", [[0, 0.5], [0, 70], [0, 30], [0, 20]]),
    agentBusy: ofProcess("agent", [[0.5, 0.1], [70, 1], [40, 10], [20, 0]]),
    directRequests: ofProcess("executor agent", [[0.5, 0.2], [70, 1], [80, 1_000], [60, 2_000]]),
    entryAgents: {
        ...ofProcess("idle entry", [[1, 0.01], [90, 0.1], [500, 50], [1_000, 100]]),
        ...ofProcess("idle holder", [[1, 0.01], [90, 0.1], [500, 1], [1_000, 200]]),
    },
    configurationSize: {
        ...ofProcess("entry", [[1, 0.001], [90, 0.01], [500, 0], [1_000, 100]]),
        "configuration B": [300, 200],
    },
    schedulingTurn: { "turn cpu ms": [1, 0.01], "state KB": [100, 2] },
    dispatchPasses: { "saturated p99 ms": [1, 0.01], "nothingWaits cpu ms": [0, 0.002] },
    region: {
        ...ofProcess("idle entry", [[1, 0.002], [90, 0.1], [500, 10], [1_000, 100]]),
        ...ofProcess("loaded entry", [[1, 0.003], [90, 0.2], [500, 20], [1_000, 200]]),
        ...ofProcess("idle holder", [[1, -0.002], [90, 0.1], [500, 1], [1_000, 200]]),
        ...ofProcess("loaded holder", [[1, 0.02], [90, 0.2], [500, 2], [1_000, 400]]),
        "role taken after ms": [7_500, 0],
        "all agents fenced after ms": [100, 1],
        "urgent job started after ms": [100, 2],
    },
    configSpread: {
        "last agent told after ms": [100, 1],
        "messages to agents": [0, 1],
        "entry to agents B": [0, 100],
    },
    reconnection: {
        "peak connections/s at start": [0, 1],
        "peak connections/s after loss": [0, 0.5],
        "survivor cpu ms": [10, 5],
    },
    tableIdle: { "reads/s": [1, 2], "scans/s": [0.2, 0], "writes/s": [0.5, 0] },
    tableJobs: {
        writes: [6, 3],
        reads: [30, 2],
        scans: [2, 0.5],
        "rows kept": [0, 6],
        "bytes kept": [0, 2_000],
    },
    historyExport: { "heap MB more": [1, 0.000_001] },
    commandLine: { "peak resident MB": [80, 0], "cpu ms": [0, 300] },
};
