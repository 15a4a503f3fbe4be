import type { ControlModel } from "./controlRule.js";
import type { ControlStep } from "./controlRules.js";
import type { ActiveRun, ControlState, RunEnd, RunRow } from "./controlState.js";
import { AUTHORITY_TICKS } from "./controlState.js";

/** Whether a step from `before` keeps the invariant; the state before it kept all of them. */
export type ControlInvariant = (before: ControlState, step: ControlStep, model: ControlModel) => boolean;

const runsOf = ({ executors }: ControlState): readonly ActiveRun[] => executors.flatMap(({ running }) => running);

/** The runs that a step started. */
const startedBy = (before: ControlState, { state }: Pick<ControlStep, "state">): readonly ActiveRun[] =>
    state.executors.flatMap(({ running, life }, index) =>
        running.filter(({ task, run }) => {
            const executor = before.executors[index];
            const isOld = executor?.life === life
                && executor.running.some(active => active.task === task && active.run === run);
            return !isOld;
        })
    );

/** The ends that a step made an executor forget. */
const acknowledgedBy = (before: ControlState, { state }: Pick<ControlStep, "state">): readonly RunEnd[] =>
    before.executors.flatMap(({ ends, life }, index) => {
        const after = state.executors[index];
        return after?.life === life
            ? ends.filter(({ number }) => after.ends.every(end => end.number !== number))
            : [];
    });

/** Whether a row shows an end: the task is done, or it is not placed in that run any more. */
const isRecorded = ({ tasks, isCancelled }: RunRow, { task, run, kind }: RunEnd): boolean => {
    const row = tasks[task];
    return isCancelled || row?.isDone === true || (kind !== "done" && (row?.run !== run || row.at < 0));
};

/** What must hold in each state and over each step. */
export const CONTROL_INVARIANTS = {
    /** No two runs of one task are on executors at one time; a run whose lease lapsed has ended. */
    oneRunAtOneTime: (_, { state }) => new Set(runsOf(state).map(({ task }) => task)).size === runsOf(state).length,
    /** Nothing starts that the row does not name. */
    startIsClaimed: (before, step) =>
        startedBy(before, step).every(({ task, run }) => (before.store.row.tasks[task]?.run ?? 0) >= run),
    /** No run of a task starts after an end `done` of it was acknowledged. */
    noStartAfterDone: (before, step) => !before.history.isDoneAcknowledged || startedBy(before, step).length === 0,
    /** An end that an executor has forgotten is in the row. */
    acknowledgedIsRecorded: (before, step) =>
        acknowledgedBy(before, step).every(end => isRecorded(step.state.store.row, end)),
    /** A controller that has seen the cancellation of a job orders no start of it. */
    cancelledIsNotOrdered: (before, { rule, subject: { controller = -1 } }) =>
        rule !== "order" || before.controllers[controller]?.row.isCancelled !== true,
    /** A controller orders nothing later than the bound of its authority. */
    orderedWithinAuthority: (before, { rule, subject: { controller = -1 } }) =>
        rule !== "order" || before.tick - (before.controllers[controller]?.renewedAt ?? 0) <= AUTHORITY_TICKS,
    /** While a gang is recorded as done, no run of it that did not end as done is on an executor. */
    gangEndsOnce: (_, { state }, { bounds }) => {
        const isDone = state.store.row.tasks.some(task => task.isDone);
        return bounds.tasks === 1 || !isDone
            || runsOf(state).every(({ run }) => state.history.doneRuns.includes(run));
    },
    /** No more failures are counted than runs have failed. */
    failureCountedOnce: (_, { state }) => (state.store.row.tasks[0]?.failures ?? 0) <= state.history.failedRuns.length,
} satisfies Readonly<Record<string, ControlInvariant>>;
export type ControlInvariantName = keyof typeof CONTROL_INVARIANTS;
const NAMES = Object.keys(CONTROL_INVARIANTS) as readonly ControlInvariantName[];

/** The first invariant that a step violates. */
export const controlViolatedBy = (
    before: ControlState,
    step: ControlStep,
    model: ControlModel,
): ControlInvariantName | undefined => NAMES.find(name => !(CONTROL_INVARIANTS[name])(before, step, model));
