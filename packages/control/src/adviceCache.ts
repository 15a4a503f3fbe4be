import type { BackoffOptions } from "@persimmonpitch/clock/backoff.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import { stepsInTurn } from "@persimmonpitch/dispatch/adviceTurns.js";
import type { AdvisedExecutors, DispatchView } from "@persimmonpitch/dispatch/dispatchView.js";
import type { AdviceCandidate, AdviceHistory, StepNeedingAdvice } from "@persimmonpitch/dispatch/stepsNeedingAdvice.js";
import { NEVER_ASKED, stepsNeedingAdvice } from "@persimmonpitch/dispatch/stepsNeedingAdvice.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { AdvicePolicy } from "@persimmonpitch/workload/clusterConfig.js";
import { parseTaskName, stepName } from "@persimmonpitch/workload/taskName.js";
import type { Advice, AdvicePort } from "./advicePort.js";

export interface AdviceCacheOptions {
    /** `undefined` if no advice service is configured. */
    readonly port: AdvicePort | undefined;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly random: () => number;
    /** Returns the current incarnation of an executor. */
    readonly incarnationOf: (executorId: string) => number | undefined;
    /** Called after each response of the advice service. */
    readonly onChanged: () => void;
}

/** Cached advice for one step on one executor. */
interface CachedAdvice {
    /** `undefined` if the step must not run on this executor. */
    readonly ticket: string | undefined;
    /** Incarnation of the executor that the ticket was issued for. */
    readonly born: number | undefined;
    /** Latest time to decide a start, so that the ticket is still valid when the order arrives. */
    readonly usableUntil: Millis;
    readonly refreshAt: Millis;
}

interface StepAdvice extends AdviceHistory {
    readonly jobId: string;
    calls: number;
    lastAskedAt: Millis | undefined;
    readonly executors: Map<string, CachedAdvice>;
}

interface AdviceRequest {
    readonly step: StepNeedingAdvice;
    readonly executorIds: readonly string[];
    /** Time of the view that the request was derived from, on its clock. */
    readonly viewTime: Millis;
}

/** Identifies a claimed run. */
interface ClaimedRun {
    readonly task: string;
    readonly executorId: string;
    readonly born: number;
}

/** Job deadlines allow for one call of this size per step. */
const USUAL_EXECUTORS_PER_CALL = 30;
/** The service accepts no larger calls. */
const MAX_EXECUTORS_PER_CALL = 100;
const RETRY_BACKOFF: BackoffOptions = { baseMs: 200, maxMs: 2_000 };
const IDLE_MS: Millis = 250;
/** Lets several passes share one search for the next request. */
const REQUEST_DELAY_MS: Millis = 20;
/** Allows for writing the claim and sending the order between the decision and the executor's ticket check. */
const START_MARGIN_MS: Millis = 300;

const NOT_ALLOWED: CachedAdvice = { ticket: undefined, born: undefined, usableUntil: 0, refreshAt: 0 };

/** In-memory cache of the advice service's answers. A new controller starts with an empty cache and asks again. */
export class AdviceCache {
    private readonly steps = new Map<string, StepAdvice>();
    private readonly wake = new WakeSignal();
    private view: DispatchView | undefined;
    /** Number of calls for all steps. */
    private calls = 0;
    private hasWarned = false;

    constructor(private readonly options: AdviceCacheOptions) {}

    /** Stores the view of the latest pass, from which the next requests are derived. */
    setView(view: DispatchView): void {
        this.view = view;
        if (this.options.port === undefined && !this.hasWarned) {
            const queue = view.jobs.find(job => job.queue.advice !== undefined)?.queue.name;
            if (queue !== undefined) {
                this.hasWarned = true;
                this.options.logger.log("error", "advice.noService", { queue });
            }
        }
        this.wake.wake();
    }

    /** Returns for each step the executors whose ticket is valid long enough to start tasks. */
    usableExecutors(): AdvisedExecutors {
        return new Map([...this.steps].map(([step, { executors }]) => [
            step,
            new Set([...executors].flatMap(([id, answer]) => this.isUsable(id, answer) ? [id] : [])),
        ]));
    }

    /** Returns the ticket for a run. */
    ticketFor({ task, executorId, born }: ClaimedRun): string | undefined {
        const answer = this.steps.get(stepOf(task))?.executors.get(executorId);
        return answer?.born === born ? answer.ticket : undefined;
    }

    /** Removes an answer after the executor refused its ticket. */
    discard({ task, executorId }: ClaimedRun): void {
        this.steps.get(stepOf(task))?.executors.delete(executorId);
        this.wake.wake();
    }

    /** Sends requests one at a time until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { port, clock, random } = this.options;
        if (port === undefined) {
            return;
        }
        let failures = 0;
        while (!isAborted(signal)) {
            const request = this.nextRequest();
            if (request === undefined) {
                await this.wake.wait(clock, IDLE_MS, signal);
                await clock.sleep(REQUEST_DELAY_MS, signal);
                continue;
            }
            const isAnswered = await this.sendRequest(port, request, signal);
            failures = isAnswered ? 0 : failures + 1;
            if (!isAnswered) {
                await clock.sleep(backoffDelay(RETRY_BACKOFF, failures, random), signal);
            }
        }
    }

    private async sendRequest(port: AdvicePort, request: AdviceRequest, signal: AbortSignal): Promise<boolean> {
        const { clock, logger, incarnationOf, onChanged } = this.options;
        const { step: { name, policy }, executorIds } = request;
        const stepAdvice = this.recordCall(request);
        const incarnations = new Map(executorIds.map(id => [id, incarnationOf(id)]));
        const askedAt = clock.now();
        const advice = await port.ask(name, executorIds, signal);
        if (advice.isErr) {
            logger.log("info", "advice.failed", { step: name, why: advice.error.kind });
            return false;
        }
        logger.log("debug", "advice.answered", {
            step: name,
            asked: executorIds.length,
            allowed: advice.value.allowed.length,
            ms: Math.round(clock.now() - askedAt),
        });
        const adviceFor = adviceLookup(advice.value, clock.now(), policy);
        executorIds.forEach(id => stepAdvice.executors.set(id, adviceFor(id, incarnations.get(id))));
        onChanged();
        return true;
    }

    private recordCall({ step: { name, jobId }, viewTime }: AdviceRequest): StepAdvice {
        const executors = new Map<string, CachedAdvice>();
        const stepAdvice = this.steps.get(name) ?? { jobId, calls: 0, lastAskedAt: undefined, executors };
        this.steps.set(name, stepAdvice);
        this.calls += 1;
        stepAdvice.calls += 1;
        stepAdvice.lastAskedAt = viewTime;
        return stepAdvice;
    }

    /** Returns a request for the step whose turn it is among those whose tickets do not cover all waiting tasks. */
    private nextRequest(): AdviceRequest | undefined {
        const { view } = this;
        if (view === undefined) {
            return undefined;
        }
        this.removeEndedSteps(view);
        const steps = stepsNeedingAdvice(view, name => this.steps.get(name) ?? NEVER_ASKED);
        for (const step of stepsInTurn(steps, this.calls)) {
            const executorIds = this.executorsToAsk(step);
            if (executorIds.length > 0) {
                return { step, executorIds, viewTime: view.now };
            }
        }
        return undefined;
    }

    /** Returns the executors to ask about, or none if those with a valid ticket have room for all waiting tasks. */
    private executorsToAsk({ name, waiting, atOnce, candidates }: StepNeedingAdvice): readonly string[] {
        const answers = this.steps.get(name)?.executors;
        const now = this.options.clock.now();
        const found = candidates();
        const states = found.map(({ executorId, slots }) => {
            const answer = answers?.get(executorId);
            const isValid = answer !== undefined && this.isUsable(executorId, answer) && now < answer.refreshAt;
            return { executorId, slots, isValid, isUnknown: answer === undefined, ticket: answer?.ticket };
        });
        const countSlots = (executors: typeof states): number => executors.reduce((sum, { slots }) => sum + slots, 0);
        const expired = states.filter(({ isValid, ticket }) => !isValid && ticket !== undefined);
        const validSlots = countSlots(states.filter(({ isValid }) => isValid));
        if (validSlots >= waiting) {
            return [];
        }
        const unknown = validSlots + countSlots(expired) >= waiting ? [] : states.filter(({ isUnknown }) => isUnknown);
        return [...expired, ...unknown]
            .sort((left, right) => Number(right.slots > 0) - Number(left.slots > 0))
            .slice(0, callSize(found, atOnce))
            .map(({ executorId }) => executorId);
    }

    private isUsable(executorId: string, { ticket, born, usableUntil }: CachedAdvice): boolean {
        return ticket !== undefined && this.options.clock.now() < usableUntil
            && born === this.options.incarnationOf(executorId);
    }

    private removeEndedSteps(view: DispatchView): void {
        const openJobIds = new Set(
            view.jobs.filter(({ progress }) => progress.outcome === "open").map(({ job }) => job.jobId),
        );
        for (const [step, { jobId }] of this.steps) {
            if (!openJobIds.has(jobId)) {
                this.steps.delete(step);
            }
        }
    }
}

/**
 * Number of executors that a call may name. For a gang it covers all members: tickets of several calls expire one after
 * the other, so with other steps to ask about between them they would not be valid at one time.
 */
const callSize = (candidates: readonly AdviceCandidate[], atOnce: number): number => {
    let slots = 0;
    const lastNeeded = candidates.findIndex(({ slotsWhenEmpty }) => {
        slots += slotsWhenEmpty;
        return slots >= atOnce;
    });
    return Math.min(MAX_EXECUTORS_PER_CALL, Math.max(USUAL_EXECUTORS_PER_CALL, lastNeeded + 1));
};

const stepOf = (task: string): string => {
    const parsed = parseTaskName(task);
    return parsed === undefined ? "" : stepName(parsed.jobId, parsed.occurrence, parsed.step);
};

/**
 * Validity counts from the arrival of the answer, because the service issues the tickets when it answers. At most half
 * of it is reserved for asking again, so that a short validity does not cause back-to-back calls.
 */
const adviceLookup = ({ allowed, validityMs }: Advice, now: Millis, policy: AdvicePolicy) => {
    const tickets = new Map(allowed.map(({ executorId, ticket }) => [executorId, ticket]));
    const usableUntil = now + validityMs - Math.min(START_MARGIN_MS, validityMs / 4);
    const callMs = policy.decisionMs + USUAL_EXECUTORS_PER_CALL * policy.perExecutorMs;
    const refreshAt = usableUntil - Math.min(callMs, validityMs / 2);
    return (executorId: string, born: number | undefined): CachedAdvice => {
        const ticket = tickets.get(executorId);
        return ticket === undefined ? NOT_ALLOWED : { ticket, born, usableUntil, refreshAt };
    };
};
