import type { ControlGuards } from "./controlGuards.js";
import { replaceAt } from "./controlRule.js";
import type { Controller, EndKind, HeldRun, RunEnd, TaskRow } from "./controlState.js";

/** What a controller knows of its runs, and how ends and losses change it. */

/** Changes one task of the controller's row. */
export const changeTask = (controller: Controller, task: number, change: Partial<TaskRow>): Controller => ({
    ...controller,
    row: {
        ...controller.row,
        tasks: controller.row.tasks.map((old, at) => at === task ? { ...old, ...change } : old),
    },
});

/** Changes what is known of one run. */
export const changeHeld = (controller: Controller, task: number, change: Partial<HeldRun>): Controller => {
    const held = controller.held[task];
    return held === undefined
        ? controller
        : { ...controller, held: replaceAt(controller.held, task, { ...held, ...change }) };
};

const drop = (controller: Controller, task: number): Controller => ({
    ...controller,
    held: replaceAt(controller.held, task, undefined),
});

const clearPlacement = (controller: Controller, task: number, run: number): Controller => {
    const row = controller.row.tasks[task];
    return row === undefined || row.run !== run || row.isDone
        ? controller
        : changeTask(controller, task, { at: -1, life: 0 });
};

/** A run is gone without an end that says how; its task has to run again. */
export const loseRun = (controller: Controller, task: number): Controller => {
    const run = controller.held[task]?.run ?? 0;
    return settleLateDone(clearPlacement(drop(controller, task), task, run));
};

/** The task is done; a gang is done as a whole. */
const conclude = (controller: Controller): Controller => ({
    ...controller,
    lateDone: 0,
    row: {
        ...controller.row,
        tasks: controller.row.tasks.map(task => ({ ...task, isDone: true, at: -1, life: 0 })),
    },
});

/** Records a late end `done` once no other run of the task is left. */
const settleLateDone = (controller: Controller): Controller =>
    controller.lateDone > 0 && controller.held.every(held => held === undefined)
        ? conclude(controller)
        : controller;

/** A gang counts one failure a run, at its first member. */
const countFailure = (controller: Controller, run: number, guards: ControlGuards): Controller => {
    const counted = controller.row.tasks[0];
    return counted === undefined || !guards.countsFailure(counted, run)
        ? controller
        : changeTask(controller, 0, { failures: counted.failures + 1, failedRun: run });
};

type TakeEnd = (controller: Controller, end: RunEnd, guards: ControlGuards) => Controller;

const clear: TakeEnd = (controller, { task, run }) => clearPlacement(controller, task, run);

/** What each kind of end of a run that is held means. */
const ENDS: { readonly [K in EndKind]: TakeEnd; } = {
    done: conclude,
    failed: (controller, end, guards) => clear(countFailure(controller, end.run, guards), end, guards),
    stopped: clear,
    lapsed: clear,
};

const takeLateDone: TakeEnd = (controller, { run }, guards) => {
    const outcome = guards.lateDone(controller);
    return outcome === "record"
        ? conclude(controller)
        : outcome === "wait"
        ? { ...controller, lateDone: run }
        : controller;
};

/** What each kind of end of a run means that was taken as lost; its task may have been started again. */
const LATE_ENDS: { readonly [K in EndKind]: TakeEnd; } = {
    done: takeLateDone,
    failed: (controller, { run }, guards) => countFailure(controller, run, guards),
    stopped: controller => controller,
    lapsed: controller => controller,
};

/** Takes in one end that an executor lists. */
export const takeEnd = (
    controller: Controller,
    executor: number,
    end: RunEnd,
    guards: ControlGuards,
): Controller => {
    const held = controller.held[end.task];
    const isHeld = held?.run === end.run && held.at === executor;
    const known = isHeld ? drop(controller, end.task) : controller;
    if (known.row.tasks[end.task]?.isDone === true) {
        return known;
    }
    if (isHeld) {
        return settleLateDone(ENDS[end.kind](known, end, guards));
    }
    return LATE_ENDS[end.kind](known, end, guards);
};

/** Whether a gang of which a member is gone has to stop. */
const isBroken = ({ row }: Controller, held: HeldRun): boolean =>
    row.tasks.some(({ run, at, isDone }) => run !== held.run || (at < 0 && !isDone));

/** Whether a run must not go on. */
export const mustStop = (controller: Controller, task: number, held: HeldRun): boolean =>
    controller.row.isCancelled || controller.lateDone > 0 || controller.row.tasks[task]?.isDone === true
    || isBroken(controller, held);
