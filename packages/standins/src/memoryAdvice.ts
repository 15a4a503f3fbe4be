import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Advice, AdviceFailure, AdvicePort } from "@persimmonpitch/control/advicePort.js";
import type { StartOrder } from "@persimmonpitch/executor/executorPort.js";
import type { AdvicePolicy } from "@persimmonpitch/workload/clusterConfig.js";
import { parseTaskName, stepName } from "@persimmonpitch/workload/taskName.js";
import { Result } from "true-myth";

/** Faults that a test can cause. */
export interface AdviceFaults {
    /** Every call answers `busy`. */
    busy: boolean;
    /** Every call answers `unavailable`. */
    down: boolean;
}

/** Options of an in-memory advice service. */
export interface MemoryAdviceOptions {
    readonly clock: Clock;
    readonly policy: AdvicePolicy;
    /** Whether a step may run on an executor. */
    readonly isAllowed: (step: string, executorId: string) => boolean;
}

/** One call as it arrived. */
export interface AdviceCall {
    readonly at: Millis;
    readonly step: string;
    readonly executorIds: readonly string[];
}

/** An advice service in memory, and the check of its tickets for executors. */
export class MemoryAdvice implements AdvicePort {
    readonly calls: AdviceCall[] = [];
    /** Most calls that were open at one time. */
    mostOpen = 0;
    /** Starts that came without a valid ticket. */
    refusedStarts = 0;
    private readonly faults: AdviceFaults = { busy: false, down: false };
    private readonly validUntil = new Map<string, Millis>();
    private open = 0;
    private issued = 0;

    constructor(private readonly options: MemoryAdviceOptions) {}

    setFaults(faults: Partial<AdviceFaults>): void {
        Object.assign(this.faults, faults);
    }

    async ask(
        step: string,
        executorIds: readonly string[],
        signal?: AbortSignal,
    ): Promise<Result<Advice, AdviceFailure>> {
        const { clock, policy, isAllowed } = this.options;
        this.calls.push({ at: clock.now(), step, executorIds });
        if (this.faults.busy) {
            return Result.err({ kind: "busy" });
        }
        if (this.faults.down) {
            return Result.err({ kind: "unavailable", detail: "The service is down." });
        }
        this.open += 1;
        this.mostOpen = Math.max(this.mostOpen, this.open);
        await clock.sleep(policy.decisionMs + policy.perExecutorMs * executorIds.length, signal);
        this.open -= 1;
        const allowed = executorIds
            .filter(executorId => isAllowed(step, executorId))
            .map(executorId => ({ executorId, ticket: this.issue(step, executorId) }));
        return Result.ok({ allowed, validityMs: policy.validityMs });
    }

    /** Whether a start carries a ticket that is valid for its step on its executor. */
    accepts({ task, executorId, ticket }: StartOrder): boolean {
        const place = parseTaskName(task);
        const step = place === undefined ? "" : stepName(place.jobId, place.occurrence, place.step);
        const isValid = ticket?.startsWith(`${step} ${executorId} `) === true
            && this.options.clock.now() <= (this.validUntil.get(ticket) ?? 0);
        this.refusedStarts += Number(!isValid);
        return isValid;
    }

    /** Makes the tickets invalid that were issued for an executor, as its new incarnation does. */
    revoke(executorId: string): void {
        for (const ticket of this.validUntil.keys()) {
            if (ticket.split(" ")[1] === executorId) {
                this.validUntil.delete(ticket);
            }
        }
    }

    private issue(step: string, executorId: string): string {
        this.issued += 1;
        const ticket = `${step} ${executorId} ${this.issued}`;
        this.validUntil.set(ticket, this.options.clock.now() + this.options.policy.validityMs);
        return ticket;
    }
}
