import { parseRow } from "@persimmonpitch/control/parseRow.js";
import { rowKeys } from "@persimmonpitch/control/rows.js";
import type { RunList } from "@persimmonpitch/workload/executorReport.js";
import type { JobProgress } from "@persimmonpitch/workload/progress.js";
import { NO_PROGRESS, taskProgressOf } from "@persimmonpitch/workload/progress.js";
import { progressRowSchema } from "@persimmonpitch/workload/progressRow.js";
import type { ControlRuleName, ControlStep } from "./controlRules.js";
import type { ControlScope } from "./controlScopes.js";
import { controlStartOf } from "./controlScopes.js";
import type { ControlMessage, ControlMessageOf, ControlState, RunRow } from "./controlState.js";
import { LEASE_TICKS } from "./controlState.js";
import { ControlWorld, deadlineMsOf, executorId, taskKeyOf, taskNameOf } from "./controlWorld.js";
import { isGivenUp } from "./executorRules.js";
import type { CommitFate } from "./gatedStore.js";
import type { ReplayController } from "./replayController.js";
import { JOB_ID } from "./replayController.js";

/** Time after which a writer repeats a write without an answer. */
const RETRY_MS = 100;

type Kind = ControlMessage["kind"];
type Deliver<K extends Kind> = (
    world: ControlWorld,
    message: ControlMessageOf<K>,
    step: ControlStep,
    before: ControlState,
) => Promise<void>;

const controllerOf = (world: ControlWorld, epoch: number) =>
    [...world.controllers.values()].find(controller => controller.epoch === epoch);

/** The controller of that epoch, if it still holds that run. */
const holderOf = (world: ControlWorld, { epoch, task, run }: ControlMessageOf<"start" | "stop">) => {
    const controller = controllerOf(world, epoch);
    return controller?.heldRun(taskKeyOf(task))?.run === run ? controller : undefined;
};

const takeList = (controller: ReplayController, executor: number, listed: RunList): void => {
    const state = controller.executor(executorId(executor));
    controller.fleet.startIncarnation(state, listed.born);
    controller.fleet.applyRunList(state, listed);
};

const DELIVERIES: { readonly [K in Kind]: Deliver<K>; } = {
    start: async (world, start, _, before) => {
        const executor = world.executors[start.executor]?.executor;
        const { task, run, epoch, deadline } = start;
        if (executor === undefined || isGivenUp(before, start)) {
            return;
        }
        const holder = holderOf(world, start);
        const order = { executorId: executor.executorId, fencingToken: epoch, task: taskNameOf(task), run };
        // The clock of a later incarnation starts anew, so that the deadline does not limit its lease.
        const isLaterLife = world.lifeOf(executor.born) !== start.life;
        const deadlineMs = deadlineMsOf(isLaterLife ? deadline + LEASE_TICKS : deadline);
        const answer = await executor.start({ ...order, payload: "", deadlineMs });
        if (answer.isOk) {
            const held = holder?.heldRun(taskKeyOf(task));
            if (held !== undefined) {
                held.startAnswerClockMs = answer.value.clockMs;
            }
            return;
        }
        if (answer.error.kind === "refused" && answer.error.reason === "fence") {
            if (holder !== undefined) {
                world.dropEpoch(epoch);
            }
            return;
        }
        // The agent stops a run that may have started before it refuses it.
        const stopped = await executor.stop(order);
        const held = holder?.heldRun(taskKeyOf(task));
        if (held !== undefined && stopped.isOk) {
            held.stopAnswerClockMs = stopped.value.clockMs;
        }
    },
    stop: async (world, stop, { subject }) => {
        const executor = world.executors[stop.executor]?.executor;
        const { task, run, epoch } = stop;
        if (executor === undefined) {
            return;
        }
        const order = { executorId: executor.executorId, fencingToken: epoch, task: taskNameOf(task), run };
        const answer = await executor.stop(order);
        const holder = holderOf(world, stop);
        const held = holder?.heldRun(taskKeyOf(task));
        if (answer.isErr && held !== undefined) {
            world.dropEpoch(epoch);
        }
        if (answer.isOk && held !== undefined && subject.outcome === undefined) {
            held.stopAnswerClockMs = answer.value.clockMs;
        }
    },
    lease: async (world, { executor: index, life, epoch, deadline, acknowledged }) => {
        const executor = world.executors[index]?.executor;
        if (executor !== undefined && world.lifeOf(executor.born) === life) {
            await executor.list({
                executorId: executor.executorId,
                fencingToken: epoch,
                deadlineMs: deadlineMsOf(deadline),
                acknowledgedEnd: acknowledged,
                waitMs: 0,
            });
        }
    },
    report: (world, { epoch, executor }) => {
        const listed = world.reports.get(`${epoch}/${executor}`);
        const controller = controllerOf(world, epoch);
        if (listed !== undefined && controller !== undefined) {
            takeList(controller, executor, listed);
        }
        return Promise.resolve();
    },
    write: async (world, { epoch, version }) => {
        const late = world.late.get(`${epoch}/${version}`);
        await (late === undefined ? undefined : world.store.client("late").commit(late));
    },
};

const deliver: Replay = async (world, step, before) => {
    const { message } = step.subject;
    if (message !== undefined) {
        await (DELIVERIES[message.kind] as Deliver<Kind>)(world, message, step, before);
        await world.pass();
    }
};

const FATES: Readonly<Record<string, CommitFate>> = { "answer lost": "lost", "under way": "later" };

const write: Replay = async (world, { subject: { controller: index = 0, outcome = "" } }, before) => {
    const controller = world.controllers.get(index);
    if (controller?.open === undefined) {
        return;
    }
    controller.writer.markDirty(controller.open);
    await world.pass();
    controller.gate.release(FATES[outcome] ?? "answered");
    await world.pass();
    const { late } = controller.gate;
    if (late !== undefined) {
        world.late.set(`${controller.epoch}/${before.controllers[index]?.version ?? 0}`, late);
        controller.gate.late = undefined;
    }
    if (controller.isLost) {
        world.drop(index);
    }
};

const repeatWrite: Replay = async (world, { subject: { controller: index = 0 } }) => {
    const controller = world.controllers.get(index);
    await world.pass(RETRY_MS);
    controller?.gate.release("answered");
    await world.pass();
    if (controller?.isLost === true) {
        world.drop(index);
    }
};

const list: Replay = async (world, { subject: { controller: index = 0, executor: at = 0 } }) => {
    const controller = world.controllers.get(index);
    const executor = world.executors[at]?.executor;
    if (controller === undefined || executor === undefined) {
        return;
    }
    await world.pass();
    const { epoch } = controller;
    const listed = await executor.list({
        executorId: executorId(at),
        fencingToken: epoch,
        acknowledgedEnd: 0,
        waitMs: 0,
    });
    if (listed.isErr) {
        world.drop(index);
        return;
    }
    takeList(controller, at, listed.value);
};

const report: Replay = async (world, { subject: { controller: index = 0, executor: at = 0 } }) => {
    const epoch = world.controllers.get(index)?.epoch ?? 0;
    await world.pass();
    const listed = await world.executors[at]?.executor.list({
        executorId: executorId(at),
        fencingToken: epoch,
        acknowledgedEnd: 0,
        waitMs: 0,
    });
    if (listed?.isOk === true) {
        world.reports.set(`${epoch}/${at}`, listed.value);
    }
    await world.pass();
};

const place: Replay = (world, { subject: { controller: index = 0, placement = [] }, state }) => {
    const controller = world.controllers.get(index);
    const run = state.controllers[index]?.held[0]?.run ?? 0;
    placement.forEach((at, task) => {
        if (controller?.open !== undefined) {
            controller.fleet.claim(controller.open, taskKeyOf(task), run, controller.executor(executorId(at)));
        }
    });
};

/** Ends the runs that a step ended. */
const endRuns = (fails: boolean): Replay => async (world, { state }, before) => {
    for (const [index, executor] of before.executors.entries()) {
        const ended = executor.running.filter(({ task, run }) =>
            state.executors[index]?.running.every(active => active.task !== task || active.run !== run) === true
        );
        for (const { task } of ended) {
            await world.endRun(index, task, fails);
        }
    }
};

type Replay = (world: ControlWorld, step: ControlStep, before: ControlState) => unknown;

/** The rule only sends messages or changes what is not part of the replayed code. */
const nothing: Replay = () => undefined;

const drop: Replay = (world, { subject: { controller = 0 } }) => {
    world.drop(controller);
};

const REPLAYS: { readonly [R in ControlRuleName]: Replay; } = {
    takeRole: (world, { subject: { controller = 0 }, state }) => world.takeRole(controller, state.store.epoch),
    loseRole: drop,
    crashController: drop,
    cancel: nothing,
    seeCancel: (world, { subject: { controller = 0 } }) => {
        world.controllers.get(controller)?.open?.finish("cancelled");
    },
    write,
    repeatWrite,
    list,
    report,
    detach: nothing,
    giveUp: (world, { subject: { controller: index = 0, executor = 0 } }) => {
        const controller = world.controllers.get(index);
        controller?.fleet.markAllRunsLost(controller.executor(executorId(executor)), "lapsed");
    },
    place,
    order: nothing,
    dropUnsent: (world, { subject: { controller = 0, task = 0 } }) => {
        world.controllers.get(controller)?.lose(taskKeyOf(task));
    },
    stop: nothing,
    preempt: nothing,
    renew: nothing,
    finish: endRuns(false),
    failRun: endRuns(true),
    endStopped: (world, { subject: { executor = 0, task = 0 } }, before) => {
        const known = before.executors[executor];
        const run = known?.running.find(active => active.task === task)?.run ?? 0;
        return world.endStopped(executor, task, run, known?.token ?? 0);
    },
    restartExecutor: (world, { subject: { executor = 0 } }) => {
        world.executors[executor]?.executor.restart();
    },
    tick: world => world.tick(),
    deliver,
    repeat: deliver,
};

/** What both sides show, in one form. */
interface Observation {
    readonly row: unknown;
    readonly controllers: readonly unknown[];
    readonly executors: readonly unknown[];
}

const observeModelRow = ({ tasks, isCancelled }: RunRow): unknown => ({ tasks, isCancelled });

const observeModel = ({ store, controllers, executors }: ControlState): Observation => ({
    row: observeModelRow(store.row),
    controllers: controllers.map(({ epoch, row, held }) =>
        epoch === 0 ? undefined : {
            epoch,
            row: observeModelRow(row),
            held: held.flatMap((run, task) =>
                run === undefined ? [] : [`${taskKeyOf(task)}#${run.run} on ${executorId(run.at)}.${run.life}`]
            ),
        }
    ),
    executors: executors.map(({ life, running, ends }) => ({
        life,
        running: running.map(({ task, run }) => `${taskNameOf(task)}#${run}`).sort(),
        ends: ends.map(({ number, task, run, kind }) => `${number} ${taskNameOf(task)}#${run} ${kind}`),
    })),
});

const observeRow = (world: ControlWorld, progress: JobProgress): unknown =>
    observeModelRow({
        tasks: Array.from({ length: world.bounds.tasks }, (_, task) => {
            const { run, placement, isDone, failures, failedRun = 0 } = taskProgressOf(progress, taskKeyOf(task));
            const at = world.executors.findIndex((_, index) => executorId(index) === placement?.executorId);
            const life = placement === undefined ? 0 : world.lifeOf(placement.born);
            return { run, at, life, isDone, failures, failedRun };
        }),
        isCancelled: progress.outcome === "cancelled",
    });

const observeWorld = async (world: ControlWorld, { executors }: ControlState): Promise<Observation> => {
    const stored = world.row(rowKeys.run(JOB_ID));
    const progress = stored === undefined ? undefined : parseRow(progressRowSchema, stored.value);
    return {
        row: observeRow(world, progress ?? NO_PROGRESS),
        controllers: Array.from({ length: world.bounds.controllers }, (_, index) => {
            const controller = world.controllers.get(index);
            return controller === undefined ? undefined : {
                epoch: controller.epoch,
                // A new controller does not take up a job that has ended.
                row: observeRow(world, controller.open?.progress ?? progress ?? NO_PROGRESS),
                held: controller.held()
                    .map(({ key, run, executorId: at, born }) => `${key}#${run} on ${at}.${world.lifeOf(born)}`)
                    .sort(),
            };
        }),
        executors: await Promise.all(world.executors.map(async ({ executor }, index) => {
            const fence = executors[index]?.token ?? 0;
            const listed = await executor.list({
                executorId: executorId(index),
                fencingToken: fence,
                acknowledgedEnd: 0,
                waitMs: 0,
            });
            return listed.isErr ? listed.error : {
                life: world.lifeOf(listed.value.born),
                running: listed.value.running.map(({ task, run }) => `${task}#${run}`).sort(),
                ends: listed.value.ends.map(({ number, task, run, kind }) => `${number} ${task}#${run} ${kind}`),
            };
        })),
    };
};

/** Keeps what the controller's own tasks keep: which ends are durable. */
const noteDurable = (world: ControlWorld, { controllers }: ControlState): void => {
    for (const [index, controller] of world.controllers) {
        controllers[index]?.durable.forEach((end, executor) => {
            controller.executor(executorId(executor)).durableEnd = end;
        });
    }
};

/** Keeps what the controller's own tasks keep: which start orders are not answered. */
const noteUnansweredStarts = (world: ControlWorld, { messages }: ControlState): void => {
    for (const controller of world.controllers.values()) {
        for (const held of controller.held()) {
            held.unansweredStarts = messages.filter(sent =>
                sent.kind === "start" && sent.epoch === controller.epoch && sent.run === held.run
                && taskKeyOf(sent.task) === held.key
            ).length;
        }
    }
};

/** Brings the real parts into the state in which a scope begins. */
const prepare = async (scope: ControlScope): Promise<ControlWorld> => {
    const world = new ControlWorld(scope.bounds);
    await world.putJob();
    if (scope.isReady) {
        const state = controlStartOf(scope);
        await world.takeRole(0, state.store.epoch);
        for (const executor of world.executors.keys()) {
            await list(world, { rule: "list", subject: { controller: 0, executor }, state }, state);
        }
    }
    return world;
};

/** The first step after which specification and code differ. */
export interface ControlDifference {
    readonly step: number;
    readonly model: Observation;
    readonly code: Observation;
}

/** Replays a run of the model against the real code and compares their states after each step. */
export const replayControlTrace = async (
    scope: ControlScope,
    steps: readonly ControlStep[],
): Promise<ControlDifference | undefined> => {
    const world = await prepare(scope);
    let before = controlStartOf(scope);
    let difference: ControlDifference | undefined;
    for (const [index, step] of steps.entries()) {
        await REPLAYS[step.rule](world, step, before);
        noteDurable(world, step.state);
        noteUnansweredStarts(world, step.state);
        const model = observeModel(step.state);
        const code = await observeWorld(world, step.state);
        if (JSON.stringify(model) !== JSON.stringify(code)) {
            difference = { step: index + 1, model, code };
            break;
        }
        before = step.state;
    }
    world.stop();
    return difference;
};
