import { pipe } from "fp-ts/lib/function.js";
import * as N from "fp-ts/lib/number.js";
import * as Ord from "fp-ts/lib/Ord.js";
import type { QueuedJob } from "./clusterView.js";
import { CLASS_RANK } from "./jobTraits.js";
import type { PassContext } from "./passContext.js";
import type { TeamUsage } from "./teamUsage.js";

/** Scores are in units of one class; lower goes first. */
interface ScoredJob {
    readonly job: QueuedJob;
    readonly score: number;
}

/** Largest boost by a close needed-by time, in classes: it lifts a batch job to the most urgent class. */
const MAX_SLACK_BOOST = 3;

/** Slack below which a needed-by time boosts a job, as a multiple of its run time. */
const SLACK_WINDOW_RUN_TIMES = 2;

/** Wait after which ageing raises a job by one class, as a multiple of its run time. */
const RUN_TIMES_PER_AGEING_STEP = 4;

/** Largest boost by ageing, in classes: it lifts best-effort jobs past standard jobs, but never past interactive ones. */
const MAX_AGEING_BOOST = 2.5;

/** Lower bound of the run time for ageing, so that jobs of a few seconds do not age within seconds. */
const MIN_AGEING_RUN_MS = 60_000;

/** Largest penalties, in classes. Their sum is below one class, so that they do not reorder classes. */
const MAX_LENGTH_PENALTY = 0.5;
const MAX_FAIR_SHARE_PENALTY = 0.45;

/** Use of the fair share, as a multiple of it, at which the penalty is largest. */
const MAX_FAIR_SHARE_USED = 2;

/** Run time from which the length penalty no longer grows: two days. */
const MAX_PENALIZED_RUN_MINUTES = 48 * 60;

const MS_PER_MINUTE = 60_000;

const clamp = (value: number, max: number): number => Math.max(0, Math.min(max, value));

const slackBoost = ({ estimates, view }: PassContext, job: QueuedJob): number => {
    const { neededBy } = job.spec;
    if (neededBy === undefined || neededBy <= view.now) {
        return 0;
    }
    const conservativeMs = estimates.conservativeMs(job);
    const slackMs = neededBy - view.now - conservativeMs;
    return MAX_SLACK_BOOST * clamp(1 - slackMs / (SLACK_WINDOW_RUN_TIMES * conservativeMs), 1);
};

const ageingBoost = ({ view }: PassContext, job: QueuedJob, expectedMs: number): number => {
    const runMs = Math.max(MIN_AGEING_RUN_MS, expectedMs);
    return clamp((view.now - job.submittedAt) / (RUN_TIMES_PER_AGEING_STEP * runMs), MAX_AGEING_BOOST);
};

const lengthPenalty = ({ view }: PassContext, expectedMs: number): number => {
    const length = Math.log1p(expectedMs / MS_PER_MINUTE) / Math.log1p(MAX_PENALIZED_RUN_MINUTES);
    return MAX_LENGTH_PENALTY * view.rules.completionWeight * clamp(length, 1);
};

/** Score of a job without the fair-share penalty, which changes during the pass as the team is allocated more. */
const scoreOf = (context: PassContext, job: QueuedJob): number => {
    const { options, estimates } = context;
    const expectedMs = estimates.expectedMs(job);
    return CLASS_RANK[job.spec.workClass]
        - (options.neededBySlack ? slackBoost(context, job) : 0)
        - (options.ageing ? ageingBoost(context, job, expectedMs) : 0)
        + (options.shortFirst ? lengthPenalty(context, expectedMs) : 0);
};

const byScore: Ord.Ord<ScoredJob> = pipe(N.Ord, Ord.contramap(({ score }: ScoredJob) => score));

const bySubmission: Ord.Ord<ScoredJob> = pipe(N.Ord, Ord.contramap(({ job }: ScoredJob) => job.submittedAt));

const scoreThenSubmission = Ord.getMonoid<ScoredJob>().concat(byScore, bySubmission);

/** Sorted queue of one team, with the index of the next job. */
interface TeamQueue {
    readonly team: string;
    readonly jobs: readonly ScoredJob[];
    next: number;
    /** Score of the next job, including the fair-share penalty. */
    score: number;
}

/** Binary min-heap of team queues by the score of their next job. */
class TeamHeap {
    readonly #queues: TeamQueue[] = [];

    push(queue: TeamQueue): void {
        const queues = this.#queues;
        let index = queues.length;
        queues.push(queue);
        while (index > 0) {
            const parentIndex = (index - 1) >> 1;
            const parent = queues[parentIndex];
            if (parent === undefined || parent.score <= queue.score) {
                break;
            }
            queues[index] = parent;
            index = parentIndex;
        }
        queues[index] = queue;
    }

    pop(): TeamQueue | undefined {
        const top = this.#queues[0];
        const last = this.#queues.pop();
        if (last !== undefined && last !== top) {
            this.#siftDown(last);
        }
        return top;
    }

    #siftDown(queue: TeamQueue): void {
        const queues = this.#queues;
        let index = 0;
        for (;;) {
            const left = queues[2 * index + 1];
            const right = queues[2 * index + 2];
            const childIndex = right !== undefined && left !== undefined && right.score < left.score
                ? 2 * index + 2
                : 2 * index + 1;
            const child = queues[childIndex];
            if (child === undefined || child.score >= queue.score) {
                break;
            }
            queues[index] = child;
            index = childIndex;
        }
        queues[index] = queue;
    }
}

/** Groups the waiting jobs by team and sorts each queue by score, then by time of submission. */
export const buildTeamQueues = (
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
        queue.sort(scoreThenSubmission.compare);
    }
    return queues;
};

/** Iterates over the waiting jobs of all teams; a team falls behind the others as its fair-share use grows. */
export class QueueOrder {
    readonly #heap = new TeamHeap();
    readonly #teamUse: TeamUsage;
    readonly #fairShare: boolean;
    #current: TeamQueue | undefined;

    constructor({ teamUsage, options }: PassContext, queues: ReadonlyMap<string, readonly ScoredJob[]>) {
        this.#teamUse = teamUsage;
        this.#fairShare = options.fairShare;
        for (const [team, jobs] of queues) {
            this.#enqueue({ team, jobs, next: 0, score: 0 });
        }
    }

    /** The next job, given the current use of each team. */
    next(): QueuedJob | undefined {
        if (this.#current !== undefined) {
            this.#enqueue(this.#current);
        }
        this.#current = this.#heap.pop();
        if (this.#current === undefined) {
            return undefined;
        }
        const scored = this.#current.jobs[this.#current.next];
        this.#current.next += 1;
        return scored?.job;
    }

    #enqueue(queue: TeamQueue): void {
        const scored = queue.jobs[queue.next];
        if (scored === undefined) {
            return;
        }
        const fairShareUsed = this.#fairShare ? clamp(this.#teamUse.fairShareUsed(queue.team), MAX_FAIR_SHARE_USED) : 0;
        queue.score = scored.score + MAX_FAIR_SHARE_PENALTY * fairShareUsed / MAX_FAIR_SHARE_USED;
        this.#heap.push(queue);
    }
}
