/**
 * Waiting requests of one service, ordered by work class and then by weighted fair queueing over teams.
 * Each waiting class of lower priority gets a minimum share of the dispatched work, so that no class starves.
 */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { WorkClass } from "@persimmonpitch/schema/job.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { QueuedRequest } from "./teamQueue.js";
import { TeamQueue } from "./teamQueue.js";
import type { PerWorkClass } from "./workClasses.js";
import { createPerWorkClass, lowerPriorityClasses, WORK_CLASSES } from "./workClasses.js";

export interface RequestQueueOptions {
    /** Maximum number of waiting requests of one team, over all classes. */
    readonly maxLengthPerTeam: number;
    /** Minimum share of the dispatched work for each waiting class of lower priority. */
    readonly minimumShare: number;
    /** Weights of teams; a team that is not listed has weight 1. */
    readonly weights: ReadonlyMap<string, number>;
    /** Disabled only for comparisons: one queue for all teams. */
    readonly fairQueueing: boolean;
}

export const DEFAULT_REQUEST_QUEUE_OPTIONS: RequestQueueOptions = {
    maxLengthPerTeam: 1_000,
    // A larger share takes capacity from interactive work; without one, an overload starves the lowest class
    // (docs/routing.md).
    minimumShare: 0.02,
    weights: new Map(),
    fairQueueing: true,
};

interface ClassQueue {
    readonly teams: Map<string, TeamQueue>;
    /** Start tag of the last dispatch. An idle team resumes from here, so that it gains no credit while idle. */
    virtualTime: number;
    /** Expected work that the class may still dispatch under its minimum share. */
    credit: number;
}

const SHARED_QUEUE_KEY = "";

/** Request queue of one service in one entry. */
export class RequestQueue {
    private readonly classes: PerWorkClass<ClassQueue> = createPerWorkClass(() => ({
        teams: new Map(),
        virtualTime: 0,
        credit: 0,
    }));
    private readonly lengthByTeam = new Map<string, number>();
    private totalLength = 0;

    constructor(readonly options: RequestQueueOptions = DEFAULT_REQUEST_QUEUE_OPTIONS) {}

    get length(): number {
        return this.totalLength;
    }

    lengthOf(team: string): number {
        return this.lengthByTeam.get(team) ?? 0;
    }

    hasCapacityFor(team: string): boolean {
        return this.lengthOf(team) < this.options.maxLengthPerTeam;
    }

    /** Key of the queue that holds the team's requests. */
    queueKey(team: string): string {
        return this.options.fairQueueing ? team : SHARED_QUEUE_KEY;
    }

    /** Expected work in the team's queue of a class. */
    expectedWorkMs(team: string, workClass: WorkClass): Millis {
        return this.classes[workClass].teams.get(this.queueKey(team))?.expectedWorkMs ?? 0;
    }

    /** Share of a class's work that fair queueing gives to the team, given the teams that are waiting. */
    fairShareOf(team: string, workClass: WorkClass): number {
        const key = this.queueKey(team);
        const weight = this.weightOf(key);
        let othersWeight = 0;
        this.classes[workClass].teams.forEach((queue, other) => {
            othersWeight += queue.length > 0 && other !== key ? this.weightOf(other) : 0;
        });
        return weight / (weight + othersWeight);
    }

    /** Number of classes with a lower priority than `workClass` that have waiting requests. */
    countWaitingClassesBelow(workClass: WorkClass): number {
        return lowerPriorityClasses(workClass).filter(lower => this.hasQueuedRequests(lower)).length;
    }

    /** Adds a request at the end of its team's queue. The caller checks `hasCapacityFor` first. */
    enqueue(request: RoutedRequest, expectedServiceMs: Millis): void {
        this.activateQueue(request).push({ request, expectedServiceMs });
        this.adjustLength(request, 1);
    }

    /** Returns a dequeued request to the front of its team's queue and reverts its effect on the start tag. */
    requeue(request: RoutedRequest, expectedServiceMs: Millis): void {
        const queue = this.activateQueue(request);
        queue.unshift({ request, expectedServiceMs });
        queue.startTag -= expectedServiceMs / this.weightOf(this.queueKey(request.team));
        this.adjustLength(request, 1);
    }

    /** Removes and returns the next request. */
    dequeue(): QueuedRequest | undefined {
        const workClass = this.nextWorkClass();
        return workClass === undefined ? undefined : this.dequeueFromClass(workClass);
    }

    /** Removes and returns the requests for which `shouldRemove` holds, such as those whose deadline has passed. */
    removeWhere(shouldRemove: (request: RoutedRequest) => boolean): readonly RoutedRequest[] {
        const removed = WORK_CLASSES.flatMap(workClass =>
            [...this.classes[workClass].teams.values()].flatMap(queue =>
                queue.length === 0 ? [] : queue.removeWhere(({ request }) => shouldRemove(request))
            )
        ).map(({ request }) => request);
        removed.forEach(request => {
            this.adjustLength(request, -1);
        });
        return removed;
    }

    private nextWorkClass(): WorkClass | undefined {
        const highest = WORK_CLASSES.find(workClass => this.hasQueuedRequests(workClass));
        if (highest === undefined) {
            return undefined;
        }
        const classWithCredit = lowerPriorityClasses(highest).find(lower => {
            const head = this.nextTeamQueue(lower)?.[1].peek();
            return head !== undefined && this.classes[lower].credit >= head.expectedServiceMs;
        });
        return classWithCredit ?? highest;
    }

    private dequeueFromClass(workClass: WorkClass): QueuedRequest | undefined {
        const classQueue = this.classes[workClass];
        const [team, queue] = this.nextTeamQueue(workClass) ?? [SHARED_QUEUE_KEY, undefined];
        const queued = queue?.shift();
        if (queue === undefined || queued === undefined) {
            return undefined;
        }
        classQueue.virtualTime = Math.max(classQueue.virtualTime, queue.startTag);
        queue.startTag += queued.expectedServiceMs / this.weightOf(team);
        classQueue.credit = Math.max(0, classQueue.credit - queued.expectedServiceMs);
        this.adjustLength(queued.request, -1);
        this.creditLowerClasses(workClass, queued.expectedServiceMs);
        return queued;
    }

    private creditLowerClasses(workClass: WorkClass, expectedServiceMs: Millis): void {
        lowerPriorityClasses(workClass).forEach(lower => {
            const classQueue = this.classes[lower];
            classQueue.credit = this.hasQueuedRequests(lower)
                ? classQueue.credit + expectedServiceMs * this.options.minimumShare
                : 0;
        });
    }

    private nextTeamQueue(workClass: WorkClass): readonly [string, TeamQueue] | undefined {
        let next: readonly [string, TeamQueue] | undefined;
        this.classes[workClass].teams.forEach((queue, team) => {
            if (queue.length > 0 && (next === undefined || queue.startTag < next[1].startTag)) {
                next = [team, queue];
            }
        });
        return next;
    }

    private hasQueuedRequests(workClass: WorkClass): boolean {
        return [...this.classes[workClass].teams.values()].some(queue => queue.length > 0);
    }

    private activateQueue(request: RoutedRequest): TeamQueue {
        const { teams, virtualTime } = this.classes[request.workClass];
        const key = this.queueKey(request.team);
        const queue = teams.get(key) ?? new TeamQueue();
        teams.set(key, queue);
        if (queue.length === 0) {
            queue.startTag = Math.max(queue.startTag, virtualTime);
        }
        return queue;
    }

    private weightOf(team: string): number {
        return this.options.weights.get(team) ?? 1;
    }

    private adjustLength({ team }: RoutedRequest, change: number): void {
        this.lengthByTeam.set(team, this.lengthOf(team) + change);
        this.totalLength += change;
    }
}
