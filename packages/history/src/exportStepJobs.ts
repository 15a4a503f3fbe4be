import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock } from "@persimmonpitch/clock/clock.js";
import { parseRow } from "@persimmonpitch/control/parseRow.js";
import { cancelRowSchema, rowKeys } from "@persimmonpitch/control/rows.js";
import type { RowStore } from "@persimmonpitch/control/rowStore.js";
import { NO_PROGRESS } from "@persimmonpitch/workload/progress.js";
import { ProgressLayout } from "@persimmonpitch/workload/progressLayout.js";
import { progressRowSchema, taskRowSchema } from "@persimmonpitch/workload/progressRow.js";
import type { StepJob } from "@persimmonpitch/workload/stepJob.js";
import { stepJobSchema } from "@persimmonpitch/workload/stepJob.js";
import type { RowPage, StoredRow } from "@persimmonpitch/workload/storedRow.js";
import { createHash } from "node:crypto";
import type * as z from "zod";
import { ExportError } from "./exportHistory.js";
import type { StepJobLine } from "./stepJobExport.js";

/** What an export reads, and its limits. */
export interface StepExportOptions {
    readonly store: RowStore;
    readonly clock: Clock;
    readonly team: string;
    /** Rows read at a time, which bounds the memory. */
    readonly pageRows?: number;
    /** Reads of one page before the export gives up. */
    readonly maxReads?: number;
    readonly random?: () => number;
}

const DEFAULT_PAGE_ROWS = 100;
const DEFAULT_MAX_READS = 8;
const BACKOFF = { baseMs: 200, maxMs: 10_000 };

/**
 * All jobs of steps of a team as JSON lines, each with its line feed: one line for each job, then the manifest. Rows
 * are read page by page, so a job that changes meanwhile appears as it was when its page was read. An export without
 * a manifest is incomplete; when the store stays out, the generator throws `ExportError`.
 */
export async function* exportStepJobs(options: StepExportOptions): AsyncGenerator<string> {
    const { clock, team } = options;
    const exportedAt = clock.wallTime();
    const hash = createHash("sha256");
    const counts = { jobs: 0, cancelled: 0, tasks: 0 };
    for await (const page of readPages(options, rowKeys.job(""), afterPrefix(rowKeys.job("")))) {
        for (const entry of await linesOf(options, page)) {
            const line = `${JSON.stringify(entry)}\n`;
            hash.update(line);
            counts.jobs += 1;
            counts.cancelled += entry.cancelledAt === undefined ? 0 : 1;
            counts.tasks += Object.keys(entry.tasks).length;
            yield line;
        }
    }
    yield `${JSON.stringify({ manifest: { team, exportedAt, ...counts, sha256: hash.digest("hex") } })}\n`;
}

/** The end of the range of the keys that begin with a prefix ending in a slash. */
const afterPrefix = (prefix: string): string => `${prefix.slice(0, -1)}0`;

const linesOf = async (options: StepExportOptions, page: readonly StoredRow[]): Promise<readonly StepJobLine[]> => {
    const jobs = page
        .map(row => parsed(stepJobSchema, row))
        .filter(({ team }) => team === options.team);
    const first = jobs[0]?.jobId;
    const last = jobs.at(-1)?.jobId;
    if (first === undefined || last === undefined) {
        return [];
    }
    const cancels = await readRange(options, rowKeys.cancel(first), rowKeys.cancel(last));
    const runs = await readRange(options, rowKeys.run(first), rowKeys.run(last));
    const lines: StepJobLine[] = [];
    for (const job of jobs) {
        const cancel = cancels.get(rowKeys.cancel(job.jobId));
        const run = runs.get(rowKeys.run(job.jobId));
        const { outcome, tasks } = run === undefined ? NO_PROGRESS : parsed(progressRowSchema, run);
        lines.push({
            job,
            ...(cancel === undefined ? {} : { cancelledAt: parsed(cancelRowSchema, cancel).at }),
            outcome,
            tasks: { ...tasks, ...await readTaskRows(options, job) },
        });
    }
    return lines;
};

/** Reads the progress of the tasks of a large job, which is stored in rows of its own. */
const readTaskRows = async (options: StepExportOptions, job: StepJob): Promise<StepJobLine["tasks"]> => {
    const { taskRowCount } = new ProgressLayout(job);
    if (taskRowCount === 0) {
        return {};
    }
    const prefix = rowKeys.tasks(job.jobId, 0).slice(0, -1);
    const rows = await readRange(options, prefix, afterPrefix(prefix));
    return Object.assign({}, ...[...rows.values()].map(row => parsed(taskRowSchema, row))) as StepJobLine["tasks"];
};

const parsed = <S extends z.ZodType>(schema: S, { key, value }: StoredRow): z.output<S> => {
    const content = parseRow(schema, value);
    if (content === undefined) {
        throw new ExportError(`the row ${key} is of another form`);
    }
    return content;
};

/** The rows of a range by key, the end included. */
const readRange = async (
    options: StepExportOptions,
    from: string,
    last: string,
): Promise<ReadonlyMap<string, StoredRow>> => {
    const rows = new Map<string, StoredRow>();
    for await (const page of readPages(options, from, `${last}\u0000`)) {
        for (const row of page) {
            rows.set(row.key, row);
        }
    }
    return rows;
};

async function* readPages(options: StepExportOptions, from: string, to: string): AsyncGenerator<readonly StoredRow[]> {
    for (let next: string | undefined = from; next !== undefined;) {
        const page: RowPage = await readPage(options, next, to);
        yield page.rows;
        const last: string | undefined = page.rows.at(-1)?.key;
        next = page.hasMore && last !== undefined ? `${last}\u0000` : undefined;
    }
}

/** Reads a page, again after a failure, so that a short outage does not end a long export. */
const readPage = async (options: StepExportOptions, from: string, to: string): Promise<RowPage> => {
    const { store, clock, random = Math.random, maxReads = DEFAULT_MAX_READS } = options;
    let reason = "nothing";
    for (let failures = 0; failures < maxReads; failures += 1) {
        if (failures > 0) {
            await clock.sleep(backoffDelay(BACKOFF, failures - 1, random));
        }
        const page = await store.scan({ from, to, limit: options.pageRows ?? DEFAULT_PAGE_ROWS });
        if (page.isOk) {
            return page.value;
        }
        reason = page.error.kind;
    }
    throw new ExportError(`the store answers ${reason}`);
};
