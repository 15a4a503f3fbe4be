import type { FitBook } from "./fitBook.js";
import { AGENTS_PER_ENTRY, BUDGET, PLAN, TODAY } from "./planSizes.js";

/** One figure at the size to design for, worked out from slopes. */
export interface VerdictRule {
    readonly role: string;
    readonly figure: string;
    readonly unit: string;
    /** Most that is allowed; undefined where the design page sets no budget. */
    readonly budget?: number;
    /** Measurements that it is worked out from. */
    readonly from: readonly string[];
    readonly value: (book: FitBook) => number;
}

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
const PERCENT_OF_CORE_PER_MS = 0.1;

/** Shortest time between two scheduling turns, as the scheduler has it. */
const MIN_TURN_INTERVAL_MS = 50;

/** A pass of the controller over jobs of steps, and how often one runs when nothing happens. */
const PASS_P99_MS = 20;
const IDLE_PASS_MS = 250;

const URGENT_START_MS = 3_400;
const IN_FORCE_MS = 4_000;
const TASKS_PER_WORKER = PLAN.runningTasks / PLAN.workers;

/** "Several hundred writes and about two thousand reads a second", section 4; 300 is taken as several hundred. */
const TABLE_WRITES_PER_SECOND = 300;
const TABLE_READS_PER_SECOND = 2_000;

/** Direct requests a second at one executor for which the figures are given; the design page names no rate. */
const REQUESTS_PER_SECOND = 5;

/** Records that an export must be able to stream within the memory of a node. */
const EXPORTED_RECORDS = 200_000;

const NODE_FIGURES = {
    "core %": { figure: "processor time", unit: "% of a core", budget: BUDGET.corePercent },
    "resident MB": { figure: "memory", unit: "MB", budget: BUDGET.residentMb },
    "sent B/s": { figure: "sent", unit: "B/s", budget: BUDGET.bytesPerSecond },
    "received B/s": { figure: "received", unit: "B/s", budget: BUDGET.bytesPerSecond },
} as const;
type NodeFigure = keyof typeof NODE_FIGURES;
const NODE_FIGURE_NAMES = Object.keys(NODE_FIGURES) as NodeFigure[];

const nodeRules = (
    role: string,
    from: readonly string[],
    value: (book: FitBook, figure: NodeFigure) => number,
): readonly VerdictRule[] =>
    NODE_FIGURE_NAMES.map(name => ({ ...NODE_FIGURES[name], role, from, value: book => value(book, name) }));

const turnMs = (book: FitBook): number => book.at("schedulingTurn", "turn cpu ms", PLAN.workers);

const perDay = (count: number): number => count / SECONDS_PER_DAY;

/** All figures of the page that are worked out, in the order of the page. */
export const VERDICT_RULES: readonly VerdictRule[] = [
    ...nodeRules("agent on a worker, idle", ["agentIdle"], (book, name) => book.slope("agentIdle", `agent ${name}`)),
    ...nodeRules(
        "agent on a worker, 4.84 tasks, each reported every 10 s",
        ["agentBusy"],
        (book, name) => book.at("agentBusy", `agent ${name}`, TASKS_PER_WORKER),
    ),
    ...nodeRules(
        "agent beside an executor, idle, one entry",
        ["directRequests"],
        (book, name) => book.at("directRequests", `executor agent ${name}`, 0),
    ),
    ...nodeRules(
        "agent beside an executor, 5 requests/s of 1 KiB",
        ["directRequests"],
        (book, name) => book.at("directRequests", `executor agent ${name}`, REQUESTS_PER_SECOND),
    ),
    ...nodeRules(
        "entry today, 11 agents, idle",
        ["entryAgents"],
        (book, name) => book.at("entryAgents", `idle entry ${name}`, TODAY.workers),
    ),
    ...nodeRules(
        "holder today, 11 workers, idle",
        ["entryAgents"],
        (book, name) => book.at("entryAgents", `idle holder ${name}`, TODAY.workers),
    ),
    ...nodeRules(
        "entry, 186 of 930 agents, idle",
        ["region"],
        (book, name) => book.at("region", `idle entry ${name}`, PLAN.workers),
    ),
    ...nodeRules(
        "entry, 186 of 930 agents, 5 long tasks a VM",
        ["region"],
        (book, name) => book.at("region", `loaded entry ${name}`, PLAN.workers),
    ),
    ...nodeRules(
        "holder with 186 of 930 agents, idle",
        ["region"],
        (book, name) => book.at("region", `idle holder ${name}`, PLAN.workers),
    ),
    ...nodeRules(
        "holder with 186 of 930 agents, 5 long tasks a VM",
        ["region"],
        (book, name) => book.at("region", `loaded holder ${name}`, PLAN.workers),
    ),
    ...nodeRules(
        "entry without agents, configuration of 930 VMs",
        ["configurationSize"],
        (book, name) => book.at("configurationSize", `entry ${name}`, PLAN.workers),
    ),
    {
        role: "holder, 930 workers, 4,500 tasks",
        figure: "one scheduling turn",
        unit: "ms of processor time",
        budget: 20,
        from: ["schedulingTurn"],
        value: turnMs,
    },
    {
        role: "holder, 930 workers, 4,500 tasks",
        figure: "turns, one a second",
        unit: "% of a core",
        budget: BUDGET.corePercent,
        from: ["schedulingTurn"],
        value: book => turnMs(book) * PERCENT_OF_CORE_PER_MS,
    },
    {
        role: "holder, 930 workers, 4,500 tasks",
        figure: "turns, as often as reports can wake them",
        unit: "% of a core",
        budget: BUDGET.corePercent,
        from: ["schedulingTurn"],
        value: book => turnMs(book) * PERCENT_OF_CORE_PER_MS * MS_PER_SECOND / (MIN_TURN_INTERVAL_MS + turnMs(book)),
    },
    {
        role: "holder, 930 workers, 4,500 tasks",
        figure: "books of jobs and agents",
        unit: "MB",
        budget: BUDGET.residentMb,
        from: ["schedulingTurn"],
        value: book => book.at("schedulingTurn", "state KB", PLAN.workers) / 1_024,
    },
    {
        role: "controller, 930 executors, 1,000 waiting jobs",
        figure: "one pass, 99th percentile",
        unit: "ms",
        budget: PASS_P99_MS,
        from: ["dispatchPasses"],
        value: book => book.at("dispatchPasses", "saturated p99 ms", PLAN.workers),
    },
    {
        role: "controller, 930 executors, nothing waits",
        figure: "passes, one every 250 ms",
        unit: "% of a core",
        budget: BUDGET.corePercent,
        from: ["dispatchPasses"],
        value: book =>
            book.at("dispatchPasses", "nothingWaits cpu ms", PLAN.workers) * PERCENT_OF_CORE_PER_MS
            * MS_PER_SECOND / IDLE_PASS_MS,
    },
    {
        role: "new holder, 930 agents, 4,500 tasks",
        figure: "all agents fenced after the role is taken",
        unit: "ms",
        budget: URGENT_START_MS,
        from: ["region"],
        value: book => book.at("region", "all agents fenced after ms", PLAN.workers),
    },
    {
        role: "new holder, 930 agents, 4,500 tasks",
        figure: "urgent job started after the role is taken",
        unit: "ms",
        budget: URGENT_START_MS,
        from: ["region"],
        value: book => book.at("region", "urgent job started after ms", PLAN.workers),
    },
    {
        role: "new holder, 930 agents, 4,500 tasks",
        figure: "urgent job started after the loss of the holder",
        unit: "ms",
        budget: URGENT_START_MS,
        from: ["region"],
        value: book =>
            book.at("region", "role taken after ms", PLAN.workers)
            + book.at("region", "urgent job started after ms", PLAN.workers),
    },
    {
        role: "configuration, 186 agents an entry",
        figure: "last agent told after",
        unit: "ms",
        budget: IN_FORCE_MS,
        from: ["configSpread"],
        value: book => book.at("configSpread", "last agent told after ms", AGENTS_PER_ENTRY),
    },
    {
        role: "configuration, 186 agents an entry",
        figure: "messages to agents, 310 changes a day",
        unit: "1/s",
        from: ["configSpread"],
        value: book =>
            book.at("configSpread", "messages to agents", AGENTS_PER_ENTRY) * perDay(PLAN.configChangesPerDay),
    },
    {
        role: "configuration, 186 agents an entry",
        figure: "bytes to agents, 310 changes a day",
        unit: "B/s",
        budget: BUDGET.bytesPerSecond,
        from: ["configSpread"],
        value: book =>
            book.at("configSpread", "entry to agents B", AGENTS_PER_ENTRY) * perDay(PLAN.configChangesPerDay),
    },
    {
        role: "reconnection, 186 agents",
        figure: "peak connections when a data centre comes back",
        unit: "1/s",
        from: ["reconnection"],
        value: book => book.at("reconnection", "peak connections/s at start", AGENTS_PER_ENTRY),
    },
    {
        role: "reconnection, 186 agents",
        figure: "peak connections at all survivors after the loss of an entry",
        unit: "1/s",
        from: ["reconnection"],
        value: book => book.at("reconnection", "peak connections/s after loss", AGENTS_PER_ENTRY),
    },
    {
        role: "reconnection, 186 agents",
        figure: "processor time of the survivors",
        unit: "ms",
        from: ["reconnection"],
        value: book => book.at("reconnection", "survivor cpu ms", AGENTS_PER_ENTRY),
    },
    {
        role: "platform, table",
        figure: "writes of 540 jobs a day, 5 entries, 2 holders, 310 changes",
        unit: "1/s",
        budget: TABLE_WRITES_PER_SECOND,
        from: ["tableJobs", "tableIdle"],
        value: book =>
            book.slope("tableJobs", "writes") * perDay(PLAN.jobsPerDay)
            + 2 * book.at("tableIdle", "writes/s", 1) + perDay(PLAN.configChangesPerDay),
    },
    {
        role: "platform, table",
        figure: "reads and scans of 540 jobs a day, 5 entries, 2 holders",
        unit: "1/s",
        budget: TABLE_READS_PER_SECOND,
        from: ["tableJobs", "tableIdle"],
        value: book =>
            (book.slope("tableJobs", "reads") + book.slope("tableJobs", "scans")) * perDay(PLAN.jobsPerDay)
            + book.at("tableIdle", "reads/s", PLAN.dataCentres) + 2 * book.at("tableIdle", "scans/s", 1),
    },
    {
        role: "platform, table",
        figure: "rows of jobs in a year",
        unit: "rows",
        from: ["tableJobs"],
        value: book => book.slope("tableJobs", "rows kept") * PLAN.jobsPerDay * 365,
    },
    {
        role: "platform, table",
        figure: "bytes of jobs in a year, one VM each",
        unit: "MB",
        from: ["tableJobs"],
        value: book => book.slope("tableJobs", "bytes kept") * PLAN.jobsPerDay * 365 / 1_048_576,
    },
    {
        role: "platform, table",
        figure: "bytes of 310 configurations of 930 VMs, a day",
        unit: "MB",
        from: ["configurationSize"],
        value: book =>
            book.at("configurationSize", "configuration B", PLAN.workers) * PLAN.configChangesPerDay / 1_048_576,
    },
    {
        role: "history export",
        figure: "heap for 200,000 records",
        unit: "MB",
        budget: BUDGET.residentMb,
        from: ["historyExport"],
        value: book => book.at("historyExport", "heap MB more", EXPORTED_RECORDS),
    },
    {
        role: "command line",
        figure: "memory of one run",
        unit: "MB",
        budget: BUDGET.residentMb,
        from: ["commandLine"],
        value: book => book.at("commandLine", "peak resident MB", 1),
    },
    {
        role: "command line",
        figure: "processor time of one run",
        unit: "ms",
        from: ["commandLine"],
        value: book => book.slope("commandLine", "cpu ms"),
    },
];
