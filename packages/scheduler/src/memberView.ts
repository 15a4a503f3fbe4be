import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { TaskReport } from "@persimmonpitch/protocol/taskMessages.js";
import type { Attempt, GangMember } from "@persimmonpitch/schema/job.js";
import { AGENT_LEASE_MS, CLOCK_DRIFT_FACTOR } from "./leaseTimes.js";
import type { RoleContext } from "./roleContext.js";

/** An agent whose report, received this long after supervision began, lacks the task has lost it. */
const MISSING_TASK_TIMEOUT_MS: Millis = 7_000;

/** State of one member of a gang, as known to the role holder. */
export type MemberState = "running" | "finished" | "failed" | "stopped" | "lost" | "neverStarted";

/** A member of an attempt, with its state and the task that its agent reported. */
export interface MemberView {
    readonly member: GangMember;
    readonly state: MemberState;
    readonly task: TaskReport | undefined;
}

const IS_ENDED: Readonly<Record<MemberState, boolean>> = {
    running: false,
    finished: true,
    failed: true,
    stopped: true,
    lost: true,
    neverStarted: true,
};

/** Whether a member in this state is no longer running. */
export const hasEnded = (state: MemberState): boolean => IS_ENDED[state];

const MEMBER_STATE_BY_TASK_STATE: Readonly<Record<TaskReport["state"], MemberState>> = {
    reserved: "running",
    running: "running",
    stopping: "running",
    stopped: "stopped",
    finished: "finished",
    failed: "failed",
};

/** Determines the current state of each member. `supervisedSince` is when this holder began to supervise the attempt. */
export const buildMemberViews = (
    context: RoleContext,
    attempt: Attempt,
    neverStarted: ReadonlySet<string>,
    supervisedSince: Millis,
): readonly MemberView[] =>
    attempt.members.map(member => {
        if (neverStarted.has(member.vmId)) {
            return { member, task: undefined, state: "neverStarted" };
        }
        const agent = context.gateway.workerAgent(member.vmId);
        const task = agent?.tasks.get(attempt.attemptId);
        if (task !== undefined && MEMBER_STATE_BY_TASK_STATE[task.state] !== "running") {
            return { member, task, state: MEMBER_STATE_BY_TASK_STATE[task.state] };
        }
        const lastContactAt = Math.max(agent?.lastReportAt ?? 0, context.heldSince);
        const isLeaseExpired = context.clock.now() - lastContactAt > AGENT_LEASE_MS * CLOCK_DRIFT_FACTOR;
        const isTaskMissing = agent?.connected === true && task === undefined
            && agent.lastReportAt - supervisedSince > MISSING_TASK_TIMEOUT_MS;
        return { member, task, state: isLeaseExpired || isTaskMissing ? "lost" : "running" };
    });

/** How an attempt ended. */
export type AttemptOutcome = Exclude<MemberState, "running">;

/** Combines the states of all members; "finished" and "neverStarted" apply only if every member has that state. */
export const attemptOutcomeOf = (views: readonly MemberView[]): AttemptOutcome => {
    const states = new Set(views.map(({ state }) => state));
    const isUniform = states.size === 1;
    if (isUniform && states.has("finished")) {
        return "finished";
    }
    if (isUniform && states.has("neverStarted")) {
        return "neverStarted";
    }
    return states.has("failed") ? "failed" : states.has("lost") ? "lost" : "stopped";
};
