import { mergeMessages } from "../mergeMessages.js";
import { changeHeld } from "./controllerView.js";
import type { ControlModel, ControlRule, ControlSuccessor } from "./controlRule.js";
import { changeController, changeExecutor, replaceAt, spendFault } from "./controlRule.js";
import type { ActiveRun, ControlMessageOf, ControlState, EndKind, Executor, RunHistory } from "./controlState.js";
import { freshExecutor, LEASE_TICKS, observer } from "./controlState.js";

type Start = ControlMessageOf<"start">;
type Stop = ControlMessageOf<"stop">;
type Lease = ControlMessageOf<"lease">;
type Refusal = "fence" | "old" | "late";

const noteStopped = ({ stopped }: Executor, task: number, run: number): readonly number[] =>
    replaceAt(stopped, task, Math.max(run, stopped[task] ?? 0));

const endRun = (executor: Executor, { task, run }: ActiveRun, kind: EndKind): Executor => ({
    ...executor,
    running: executor.running.filter(active => active.task !== task || active.run !== run),
    stopped: noteStopped(executor, task, run),
    ends: [...executor.ends, { number: executor.lastEnd + 1, task, run, kind }],
    lastEnd: executor.lastEnd + 1,
});

const noteRun = (runs: readonly number[], run: number): readonly number[] =>
    runs.includes(run) ? runs : [...runs, run].sort();

/** Ends one run, and notes it in the history. */
const endAt = (state: ControlState, index: number, run: ActiveRun, kind: EndKind): ControlState => {
    const executor = state.executors[index];
    const { doneRuns, failedRuns } = state.history;
    const change: Partial<RunHistory> = kind === "done"
        ? { doneRuns: noteRun(doneRuns, run.run) }
        : kind === "failed"
        ? { failedRuns: noteRun(failedRuns, run.run) }
        : {};
    return executor === undefined ? state : {
        ...changeExecutor(state, index, endRun(executor, run, kind)),
        history: { ...state.history, ...change },
    };
};

/** One successor for each run on an executor for which `change` gives a state. */
const forEachRun = (
    state: ControlState,
    change: (run: ActiveRun, executor: number) => ControlState | undefined,
): readonly ControlSuccessor[] =>
    state.executors.flatMap(({ running }, executor) =>
        running.flatMap(run => {
            const next = change(run, executor);
            return next === undefined ? [] : [{ subject: { executor, task: run.task }, state: next }];
        })
    );

/** Ends all members of a gang together; undefined while one of them does not run. */
const finishGang = (state: ControlState, run: number, tasks: number): ControlState | undefined => {
    const members = state.executors.flatMap(({ running }, executor) =>
        running.filter(active => active.run === run).map(active => ({ active, executor }))
    );
    return members.length === tasks
        ? members.reduce((next, { active, executor }) => endAt(next, executor, active, "done"), state)
        : undefined;
};

/** What happens on executors. */
export const EXECUTOR_RULES = {
    finish: (state, { bounds }) =>
        forEachRun(state, ({ task, run }) => task === 0 ? finishGang(state, run, bounds.tasks) : undefined),
    failRun: state => {
        const next = spendFault(state);
        return next === undefined ? [] : forEachRun(next, (run, executor) => endAt(next, executor, run, "failed"));
    },
    endStopped: state =>
        forEachRun(state, (run, executor) => run.isStopping ? endAt(state, executor, run, "stopped") : undefined),
    /** A new incarnation under the same id runs nothing and has seen no token. */
    restartExecutor: (state, { bounds }) => {
        const next = spendFault(state);
        return next === undefined
            ? []
            : next.executors.flatMap(({ life, token, agentEpoch }, executor) =>
                life >= bounds.maxLives || token === 0
                    ? []
                    : [{
                        subject: { executor },
                        state: changeExecutor(next, executor, freshExecutor(life + 1, bounds, agentEpoch)),
                    }]
            );
    },
    /** Time passes: leases lapse, and the controller that holds the role renews its term. */
    tick: (state, { bounds }) => {
        const tick = state.tick + 1;
        if (tick > bounds.maxTicks) {
            return [];
        }
        const executors = state.executors.map(executor =>
            executor.lease >= tick
                ? executor
                : executor.running.reduce((next, run) => endRun(next, run, "lapsed"), executor)
        );
        const controllers = state.controllers.map(controller =>
            controller.epoch > 0 && controller.epoch === state.store.epoch
                ? { ...controller, renewedAt: tick }
                : controller
        );
        return [{ subject: {}, state: { ...state, tick, executors, controllers } }];
    },
} satisfies Readonly<Record<string, ControlRule>>;

const isRunning = ({ running }: Executor, { task, run }: Start): boolean =>
    running.some(active => active.task === task && active.run === run);

/** Why an executor refuses a start; undefined when it takes it. */
export const refusalOf = (
    state: ControlState,
    executor: Executor,
    start: Start,
    { guards }: ControlModel,
): Refusal | undefined => {
    if (!guards.acceptsToken(executor, start.epoch)) {
        return "fence";
    }
    if (isRunning(executor, start)) {
        return undefined;
    }
    if (guards.isOldRun(executor, start)) {
        return "old";
    }
    return guards.isLate(start, state.tick) ? "late" : undefined;
};

/** The controller that waits for the answer to an order. */
export const senderOf = ({ controllers }: ControlState, { epoch, task, run }: Start | Stop): number =>
    controllers.findIndex(controller => controller.epoch === epoch && controller.held[task]?.run === run);

/**
 * Whether an order does not reach a later incarnation, because the agent gave it up: a newer controller has attached, or
 * another attempt was answered.
 */
export const isGivenUp = (state: ControlState, start: Start): boolean => {
    const executor = state.executors[start.executor];
    const held = state.controllers[senderOf(state, start)]?.held[start.task];
    return executor !== undefined && executor.life !== start.life
        && (start.epoch < executor.agentEpoch || held?.isStartAnswered === true);
};

/** Reports under way are older than the answer to a stop. */
const passReports = (state: ControlState, { executor, task }: Start | Stop): ControlState => ({
    ...state,
    messages: mergeMessages(
        [],
        state.messages.map(sent =>
            sent.kind === "report" && sent.executor === executor && !sent.before.includes(task)
                ? { ...sent, before: [...sent.before, task].sort() }
                : sent
        ),
    ),
});

/** The agent stops a run that may have started before it refuses it; a later list shows how the run ended. */
const stopRefused = (state: ControlState, start: Start): ControlState => {
    const executor = state.executors[start.executor];
    const sender = senderOf(state, start);
    const controller = state.controllers[sender];
    const stopped = executor === undefined ? [] : noteStopped(executor, start.task, start.run);
    const token = Math.max(executor?.token ?? 0, start.epoch);
    const next = changeExecutor(passReports(state, start), start.executor, { stopped, token });
    return controller === undefined
        ? next
        : changeController(
            next,
            sender,
            changeHeld(controller, start.task, { isStopping: true, isStopAnswered: true }),
        );
};

/** What a refusal tells the controller. */
const REFUSALS: { readonly [R in Refusal]: (state: ControlState, start: Start, model: ControlModel) => ControlState; } =
    {
        fence: (state, start, { bounds }) => changeController(state, senderOf(state, start), observer(bounds)),
        old: stopRefused,
        late: stopRefused,
    };

/** The controller learns that a run has started. */
const answerStart = (state: ControlState, start: Start): ControlState => {
    const sender = senderOf(state, start);
    const controller = state.controllers[sender];
    return controller === undefined
        ? state
        : changeController(state, sender, changeHeld(controller, start.task, { isStartAnswered: true }));
};

/** An order to start. It names no incarnation that the executor checks, so it may start the run on a later one. */
export const deliverStart = (state: ControlState, start: Start, model: ControlModel): readonly ControlSuccessor[] => {
    const executor = state.executors[start.executor];
    if (executor === undefined) {
        return [];
    }
    if (isGivenUp(state, start)) {
        return [{ subject: { outcome: "refused" }, state }];
    }
    const refusal = refusalOf(state, executor, start, model);
    if (refusal !== undefined) {
        return [{ subject: { outcome: "refused" }, state: REFUSALS[refusal](state, start, model) }];
    }
    const { task, run, epoch, deadline, life } = start;
    // The clock of a later incarnation starts anew, so that the deadline does not limit its lease.
    const leaseEnd = executor.life === life ? deadline : deadline + LEASE_TICKS;
    const started = {
        token: Math.max(executor.token, epoch),
        lease: Math.max(executor.lease, leaseEnd),
        running: isRunning(executor, start)
            ? executor.running
            : [...executor.running, { task, run, isStopping: false }],
    };
    return [{ subject: {}, state: answerStart(changeExecutor(state, start.executor, started), start) }];
};

/** An order to stop; a run that has not arrived yet is refused from then on. */
export const deliverStop = (
    state: ControlState,
    stop: Stop,
    { guards, bounds }: ControlModel,
): readonly ControlSuccessor[] => {
    const executor = state.executors[stop.executor];
    if (executor === undefined) {
        return [];
    }
    const { task, run, epoch } = stop;
    const sender = senderOf(state, stop);
    if (!guards.acceptsToken(executor, epoch)) {
        const next = changeController(state, sender, observer(bounds));
        return [{ subject: { outcome: "refused" }, state: next }];
    }
    const next = changeExecutor(passReports(state, stop), stop.executor, {
        token: Math.max(executor.token, epoch),
        stopped: noteStopped(executor, task, run),
        running: executor.running.map(active =>
            active.task === task && active.run === run ? { ...active, isStopping: true } : active
        ),
    });
    const controller = next.controllers[sender];
    if (controller === undefined) {
        return [{ subject: {}, state: next }];
    }
    const answered = changeController(next, sender, changeHeld(controller, task, { isStopAnswered: true }));
    const lost = spendFault(next);
    return [
        { subject: {}, state: answered },
        ...(lost === undefined ? [] : [{ subject: { outcome: "answer lost" as const }, state: lost }]),
    ];
};

/** A deadline and an acknowledgement. */
export const deliverLease = (
    state: ControlState,
    lease: Lease,
    { guards }: ControlModel,
): readonly ControlSuccessor[] => {
    const executor = state.executors[lease.executor];
    const isTaken = executor !== undefined && guards.acknowledgesLife(executor, lease.life)
        && guards.acceptsToken(executor, lease.epoch);
    if (!isTaken) {
        return [{ subject: { outcome: "refused" }, state }];
    }
    const isDropped = executor.ends.some(({ number, kind }) => number <= lease.acknowledged && kind === "done");
    const next = changeExecutor(state, lease.executor, {
        token: Math.max(executor.token, lease.epoch),
        lease: Math.max(executor.lease, lease.deadline),
        ends: executor.ends.filter(({ number }) => number > lease.acknowledged),
    });
    const isDoneAcknowledged = state.history.isDoneAcknowledged || isDropped;
    return [{ subject: {}, state: { ...next, history: { ...next.history, isDoneAcknowledged } } }];
};
