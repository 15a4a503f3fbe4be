import { changeHeld, changeTask, loseRun, takeEnd } from "./controllerView.js";
import type { ControlModel, ControlRule, ControlSuccessor } from "./controlRule.js";
import {
    changeController,
    changeExecutor,
    forEachLink,
    isSame,
    replaceAt,
    sendAll,
    spendFault,
} from "./controlRule.js";
import type {
    Controller,
    ControlMessage,
    ControlMessageOf,
    ControlState,
    Executor,
    HeldRun,
    ListedRuns,
} from "./controlState.js";
import { authorityEnd, LEASE_TICKS, observer } from "./controlState.js";

/** Tasks whose run the controller holds at an executor. */
const tasksAt = ({ held }: Controller, executor: number): readonly number[] =>
    [...held.keys()].filter(task => held[task]?.at === executor);

/** The start orders of a run that are not answered. */
const startsUnderWay = (
    { messages }: ControlState,
    { epoch }: Controller,
    task: number,
    run: number | undefined,
): readonly ControlMessageOf<"start">[] =>
    messages.filter(sent => sent.kind === "start")
        .filter(sent => sent.epoch === epoch && sent.task === task && sent.run === run);

/** An answer or a list of the older incarnation says nothing about a run that may start on the new one. */
const carryOver = (controller: Controller, task: number): Controller =>
    changeHeld(controller, task, { isStartAnswered: false, isListed: false, isStopAnswered: false });

/** A new incarnation: what ran on the older one is gone, but orders for it may start runs on the new one. */
const meetLife = (
    state: ControlState,
    controller: Controller,
    executor: number,
    life: number,
    { guards }: ControlModel,
): Controller => {
    if (controller.lives[executor] === life) {
        return controller;
    }
    const older = tasksAt(controller, executor).filter(task => controller.held[task]?.life !== life);
    const left = older.reduce((next, task) => {
        const held = controller.held[task];
        const isUnderWay = startsUnderWay(state, controller, task, held?.run).length > 0;
        return held !== undefined && guards.keepsAfterRestart(held, isUnderWay)
            ? carryOver(next, task)
            : loseRun(next, task);
    }, controller);
    return {
        ...left,
        lives: replaceAt(left.lives, executor, life),
        seen: replaceAt(left.seen, executor, 0),
        durable: replaceAt(left.durable, executor, 0),
        acknowledged: replaceAt(left.acknowledged, executor, 0),
    };
};

const takeEnds = (
    controller: Controller,
    executor: number,
    { ends }: ListedRuns,
    { guards }: ControlModel,
): Controller => {
    const known = controller.seen[executor] ?? 0;
    const taken = ends.filter(({ number }) => number > known)
        .reduce((next, end) => takeEnd(next, executor, end, guards), controller);
    // An end `done` that waits is not acknowledged, and neither is any end after it.
    const waiting = ends.filter(({ kind, run }) => kind === "done" && run === taken.lateDone);
    const seen = Math.min(ends.at(-1)?.number ?? 0, ...waiting.map(({ number }) => number - 1));
    return { ...taken, seen: replaceAt(taken.seen, executor, Math.max(seen, known)) };
};

/** A run that a new incarnation lists is claimed for it. */
const noteListed = (controller: Controller, executor: number, task: number, { run }: HeldRun): Controller => {
    const life = controller.lives[executor] ?? 0;
    const listed = changeHeld(controller, task, { life, isListed: true });
    return controller.row.tasks[task]?.run === run ? changeTask(listed, task, { life }) : listed;
};

const takeRunning = (
    controller: Controller,
    executor: number,
    { running }: ListedRuns,
    before: readonly number[],
    { guards }: ControlModel,
): Controller =>
    tasksAt(controller, executor).reduce((next, task) => {
        const held = controller.held[task];
        const isRunning = running.some(active => active.task === task && active.run === held?.run);
        if (held === undefined) {
            return next;
        }
        const seen = isRunning ? noteListed(next, executor, task, held) : next;
        return guards.isGone(held, isRunning, before.includes(task)) ? loseRun(seen, task) : seen;
    }, controller);

const markDurable = (controller: Controller, { guards }: ControlModel): Controller => {
    const isWritten = controller.pending === undefined && isSame(controller.row, controller.written);
    return isWritten || !guards.acknowledgesDurable ? { ...controller, durable: controller.seen } : controller;
};

/** What a controller knows once an executor has listed its runs. */
const takeList = (
    state: ControlState,
    index: number,
    executor: number,
    listed: ListedRuns,
    before: readonly number[],
    model: ControlModel,
): Controller | undefined => {
    const controller = state.controllers[index];
    if (controller === undefined) {
        return undefined;
    }
    const met = meetLife(state, controller, executor, listed.life, model);
    const isFirst = met.isListed[executor] !== true || controller.lives[executor] !== listed.life;
    const attached = isFirst
        ? {
            ...met,
            isListed: replaceAt(met.isListed, executor, true),
            // Another controller may have given a lease of any length that the executor takes.
            deadlines: replaceAt(
                met.deadlines,
                executor,
                Math.max(met.deadlines[executor] ?? 0, state.tick + LEASE_TICKS),
            ),
        }
        : met;
    return markDurable(
        takeRunning(takeEnds(attached, executor, listed, model), executor, listed, before, model),
        model,
    );
};

/** Starts that are sent again after the connection to an agent broke. */
const resumed = (
    { tick }: ControlState,
    before: Controller,
    after: Controller,
    executor: number,
    { running }: Executor,
    { guards }: ControlModel,
): readonly ControlMessage[] =>
    before.isListed[executor] === true || !guards.hasAuthority(after, tick)
        ? []
        : tasksAt(after, executor).flatMap(task => {
            const held = after.held[task];
            const isDue = held?.isSent === true && !held.isInherited && !held.isStopping
                && held.life === after.lives[executor]
                && running.every(active => active.task !== task) && guards.mayOrder(after, task, held);
            return isDue
                ? [{
                    kind: "start" as const,
                    executor,
                    epoch: after.epoch,
                    life: held.life,
                    task,
                    run: held.run,
                    deadline: authorityEnd(after),
                }]
                : [];
        });

/** A connection keeps the order of its messages and loses them when it breaks. */
const dropReports = (state: ControlState, epoch: number, executor: number): ControlState => ({
    ...state,
    messages: state.messages.filter(sent =>
        sent.kind !== "report" || sent.epoch !== epoch || sent.executor !== executor
    ),
});

/** How a controller learns what is on an executor. */
export const LIST_RULES = {
    // The first list is the answer to `agent.attach`; the agent lists under the token of the controller.
    list: (state, model) =>
        forEachLink(state, (controller, index, executor) => {
            const listed = state.executors[executor];
            if (listed === undefined) {
                return undefined;
            }
            if (!model.guards.acceptsToken(listed, controller.epoch)) {
                return changeController(state, index, observer(model.bounds));
            }
            const after = takeList(state, index, executor, listed, [], model);
            if (after === undefined || (isSame(after, controller) && listed.token === controller.epoch)) {
                return undefined;
            }
            const shown = changeExecutor(state, executor, {
                token: Math.max(listed.token, controller.epoch),
                agentEpoch: Math.max(listed.agentEpoch, controller.epoch),
            });
            const next = changeController(dropReports(shown, controller.epoch, executor), index, after);
            return sendAll(next, resumed(state, controller, after, executor, listed, model));
        }),
    // The agent passes on a list later; an order may be answered meanwhile.
    report: state =>
        forEachLink(state, (controller, _, executor) => {
            const { epoch, isListed, lives } = controller;
            const listed = state.executors[executor];
            const isUnderWay = state.messages.some(sent =>
                sent.kind === "report" && sent.epoch === epoch && sent.executor === executor
            );
            const isDue = isListed[executor] === true && listed !== undefined && listed.life === lives[executor]
                && listed.token === epoch && tasksAt(controller, executor).length > 0 && !isUnderWay;
            if (!isDue) {
                return undefined;
            }
            const { life, running, ends } = listed;
            return sendAll(state, [{ kind: "report", executor, epoch, listed: { life, running, ends }, before: [] }]);
        }),
    detach: state => {
        const next = spendFault(state);
        return next === undefined
            ? []
            : forEachLink(next, ({ epoch, isListed }, index, executor) =>
                isListed[executor] === true
                    ? changeController(dropReports(next, epoch, executor), index, {
                        isListed: replaceAt(isListed, executor, false),
                    })
                    : undefined);
    },
    // An executor that is not listed counts as silent; its runs are gone once its lease has certainly lapsed.
    giveUp: (state, { guards }) =>
        forEachLink(state, (controller, index, executor) => {
            const tasks = tasksAt(controller, executor);
            const isLateStartPossible = tasks.flatMap(task =>
                startsUnderWay(state, controller, task, controller.held[task]?.run)
            ).some(({ deadline }) => state.tick <= deadline + LEASE_TICKS);
            const isGone = tasks.length > 0 && controller.isListed[executor] !== true && !isLateStartPossible
                && guards.mayGiveUp(controller, executor, state.tick);
            return isGone ? changeController(state, index, tasks.reduce(loseRun, controller)) : undefined;
        }),
} satisfies Readonly<Record<string, ControlRule>>;

/** A report that arrives. */
export const deliverReport = (
    state: ControlState,
    { executor, epoch, listed, before }: ControlMessageOf<"report">,
    model: ControlModel,
): readonly ControlSuccessor[] => {
    const index = state.controllers.findIndex(controller => controller.epoch === epoch);
    const after = takeList(state, index, executor, listed, before, model);
    return after === undefined ? [] : [{ subject: {}, state: changeController(state, index, after) }];
};
