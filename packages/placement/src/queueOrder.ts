import { pipe } from "fp-ts/lib/function.js";
import * as N from "fp-ts/lib/number.js";
import * as Ord from "fp-ts/lib/Ord.js";
import type { QueuedJob } from "./clusterView.js";
import { CLASS_RANK } from "./jobTraits.js";
import type { PassContext } from "./passContext.js";
import type { TeamUse } from "./teamUse.js";

/** Scores are in units of one class; lower goes first. */
interface ScoredJob {
    readonly job: QueuedJob;
    readonly score: number;
}

/** A job close to its needed-by time ranks with the most urgent class. */
const MAX_SLACK_BOOST = 3;

/** Slack, as a multiple of the run time, at which a needed-by time starts to count. */
const SLACK_WINDOW = 2;

/** A job that waited this many times its run time has risen by one class. */
const AGEING_STEP = 4;

/** Ageing lifts best-effort work past standard work, and never past interactive work. */
const MAX_AGEING_BOOST = 2.5;

/** Keeps jobs of a few seconds from ageing within seconds. */
const MIN_AGEING_RUN_MS = 60_000;

/** Together below one class, so that neither of the two reorders classes by itself. */
const SHORT_SPAN = 0.5;
const FAIR_SHARE_SPAN = 0.45;

/** Share use at which the penalty is largest. */
const MAX_SHARE_USED = 2;

/** Run time from which jobs count as equally long: two days. */
const LONG_RUN_MINUTES = 48 * 60;

const MS_PER_MINUTE = 60_000;

const clamp = (value: number, max: number): number => Math.max(0, Math.min(max, value));

const slackBoost = ({ estimates, view }: PassContext, job: QueuedJob): number => {
    const { neededBy } = job.spec;
    if (neededBy === undefined || neededBy <= view.now) {
        return 0;
    }
    const cautious = estimates.cautious(job);
    const slack = neededBy - view.now - cautious;
    return MAX_SLACK_BOOST * clamp(1 - slack / (SLACK_WINDOW * cautious), 1);
};

const ageingBoost = ({ view }: PassContext, job: QueuedJob, expectedMs: number): number => {
    const run = Math.max(MIN_AGEING_RUN_MS, expectedMs);
    return clamp((view.now - job.submittedAt) / (AGEING_STEP * run), MAX_AGEING_BOOST);
};

const lengthPenalty = ({ view }: PassContext, expectedMs: number): number => {
    const length = Math.log1p(expectedMs / MS_PER_MINUTE) / Math.log1p(LONG_RUN_MINUTES);
    return SHORT_SPAN * view.rules.completionWeight * clamp(length, 1);
};

/** Place of a job in the queue as far as the use by its team does not change it. */
const scoreOf = (context: PassContext, job: QueuedJob): number => {
    const { options, estimates } = context;
    const expectedMs = estimates.expected(job);
    return CLASS_RANK[job.spec.workClass]
        - (options.neededBySlack ? slackBoost(context, job) : 0)
        - (options.ageing ? ageingBoost(context, job, expectedMs) : 0)
        + (options.shortFirst ? lengthPenalty(context, expectedMs) : 0);
};

const byScore: Ord.Ord<ScoredJob> = pipe(N.Ord, Ord.contramap(({ score }: ScoredJob) => score));

const bySubmission: Ord.Ord<ScoredJob> = pipe(N.Ord, Ord.contramap(({ job }: ScoredJob) => job.submittedAt));

const inQueueOrder = Ord.getMonoid<ScoredJob>().concat(byScore, bySubmission);

/** The jobs of one team in order, with the position of the next one. */
interface TeamQueue {
    readonly team: string;
    readonly jobs: readonly ScoredJob[];
    next: number;
    /** Score of the next job with the team's use added. */
    score: number;
}

/** Binary heap of teams by the score of their next job. */
class TeamHeap {
    readonly #queues: TeamQueue[] = [];

    push(queue: TeamQueue): void {
        const queues = this.#queues;
        let at = queues.length;
        queues.push(queue);
        while (at > 0) {
            const parentAt = (at - 1) >> 1;
            const parent = queues[parentAt];
            if (parent === undefined || parent.score <= queue.score) {
                break;
            }
            queues[at] = parent;
            at = parentAt;
        }
        queues[at] = queue;
    }

    pop(): TeamQueue | undefined {
        const top = this.#queues[0];
        const last = this.#queues.pop();
        if (last !== undefined && last !== top) {
            this.#sinkFromTop(last);
        }
        return top;
    }

    #sinkFromTop(queue: TeamQueue): void {
        const queues = this.#queues;
        let at = 0;
        for (;;) {
            const left = queues[2 * at + 1];
            const right = queues[2 * at + 2];
            const childAt = right !== undefined && left !== undefined && right.score < left.score
                ? 2 * at + 2
                : 2 * at + 1;
            const child = queues[childAt];
            if (child === undefined || child.score >= queue.score) {
                break;
            }
            queues[at] = child;
            at = childAt;
        }
        queues[at] = queue;
    }
}

/** Waiting jobs of each team, best first. */
export const teamQueues = (
    context: PassContext,
    jobs: readonly QueuedJob[],
): ReadonlyMap<string, readonly ScoredJob[]> => {
    const queues = new Map<string, ScoredJob[]>();
    for (const job of jobs) {
        const queue = queues.get(job.spec.team) ?? [];
        queues.set(job.spec.team, queue);
        queue.push({ job, score: scoreOf(context, job) });
    }
    for (const queue of queues.values()) {
        queue.sort(inQueueOrder.compare);
    }
    return queues;
};

/** Gives waiting jobs one by one; a team that was given much falls back behind the others. */
export class QueueOrder {
    readonly #heap = new TeamHeap();
    readonly #teamUse: TeamUse;
    readonly #fairShare: boolean;
    #current: TeamQueue | undefined;

    constructor({ teamUse, options }: PassContext, queues: ReadonlyMap<string, readonly ScoredJob[]>) {
        this.#teamUse = teamUse;
        this.#fairShare = options.fairShare;
        for (const [team, jobs] of queues) {
            this.#enter({ team, jobs, next: 0, score: 0 });
        }
    }

    /** The next job by the present use of each team. */
    next(): QueuedJob | undefined {
        if (this.#current !== undefined) {
            this.#enter(this.#current);
        }
        this.#current = this.#heap.pop();
        if (this.#current === undefined) {
            return undefined;
        }
        const scored = this.#current.jobs[this.#current.next];
        this.#current.next += 1;
        return scored?.job;
    }

    #enter(queue: TeamQueue): void {
        const scored = queue.jobs[queue.next];
        if (scored === undefined) {
            return;
        }
        const shareUsed = this.#fairShare ? clamp(this.#teamUse.shareUsed(queue.team), MAX_SHARE_USED) : 0;
        queue.score = scored.score + FAIR_SHARE_SPAN * shareUsed / MAX_SHARE_USED;
        this.#heap.push(queue);
    }
}
