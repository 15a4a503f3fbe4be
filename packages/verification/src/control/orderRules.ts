import { changeHeld, loseRun, mustStop } from "./controllerView.js";
import type { ControlRule, ControlSuccessor } from "./controlRule.js";
import { changeController, forEachLink, replaceAt, sendAll, spendFault } from "./controlRule.js";
import type { Controller, ControlState, HeldRun, RunRow } from "./controlState.js";
import { authorityEnd, LEASE_TICKS } from "./controlState.js";

/** All ways to place `tasks` tasks on `executors` executors. */
const placements = (tasks: number, executors: number): readonly (readonly number[])[] =>
    tasks === 0
        ? [[]]
        : placements(tasks - 1, executors).flatMap(shorter =>
            Array.from({ length: executors }, (_, executor) => [...shorter, executor])
        );

const maxRun = ({ tasks }: RunRow): number => Math.max(...tasks.map(({ run }) => run));

const UNSENT: Omit<HeldRun, "run" | "at" | "life"> = {
    isInherited: false,
    isClaimed: false,
    isSent: false,
    isStartAnswered: false,
    isListed: false,
    isStopping: false,
    isStopAnswered: false,
};

const isFree = ({ epoch, row, held, lateDone }: Controller): boolean =>
    epoch > 0 && !row.isCancelled && lateDone === 0 && row.tasks.every(({ isDone }) => !isDone)
    && held.every(run => run === undefined);

const place = (controller: Controller, placement: readonly number[]): Controller => {
    const run = maxRun(controller.row) + 1;
    const claims = placement.map(at => ({ run, at, life: controller.lives[at] ?? 0 }));
    return {
        ...controller,
        row: {
            ...controller.row,
            tasks: controller.row.tasks.map((task, index) => ({ ...task, ...claims[index] })),
        },
        held: claims.map(claim => ({ ...claim, ...UNSENT })),
    };
};

/** One successor for each run that a controller holds and for which `change` gives a state. */
const forEachHeld = (
    state: ControlState,
    change: (controller: Controller, index: number, task: number, held: HeldRun) => ControlState | undefined,
): readonly ControlSuccessor[] =>
    state.controllers.flatMap((controller, index) =>
        controller.held.flatMap((held, task) => {
            const next = held === undefined ? undefined : change(controller, index, task, held);
            return next === undefined
                ? []
                : [{ subject: { controller: index, task, executor: held?.at ?? 0 }, state: next }];
        })
    );

const isReachable = ({ isListed, lives }: Controller, { at, life }: HeldRun): boolean =>
    isListed[at] === true && lives[at] === life;

/** Whether an order for an earlier incarnation may start the run on this one, which has not listed it. */
const isCarriedOver = ({ isListed, lives }: Controller, { at, life }: HeldRun): boolean =>
    isListed[at] === true && lives[at] !== life;

const isStopUnderWay = ({ messages }: ControlState, epoch: number, task: number, run: number): boolean =>
    messages.some(sent => sent.kind === "stop" && sent.epoch === epoch && sent.task === task && sent.run === run);

/** What a controller places, orders and grants. */
export const ORDER_RULES = {
    place: (state, { bounds }) =>
        state.controllers.flatMap((controller, index) =>
            !isFree(controller) || maxRun(controller.row) >= bounds.maxRuns
                ? []
                : placements(bounds.tasks, bounds.executors)
                    .filter(placement => placement.every(executor => controller.isListed[executor] === true))
                    .map(placement => ({
                        subject: { controller: index, placement },
                        state: changeController(state, index, place(controller, placement)),
                    }))
        ),
    order: (state, { guards }) =>
        forEachHeld(state, (controller, index, task, held) => {
            const { at, life, run, isSent, isStopping } = held;
            const mayOrder = !isSent && !isStopping && isReachable(controller, held) && guards.isClaimSafe(held)
                && guards.hasAuthority(controller, state.tick) && guards.mayOrder(controller, task, held);
            if (!mayOrder) {
                return undefined;
            }
            const { epoch, deadlines } = controller;
            const deadline = authorityEnd(controller);
            const sent = changeHeld(controller, task, { isSent: true });
            const next = changeController(state, index, {
                ...sent,
                deadlines: replaceAt(deadlines, at, Math.max(deadline, deadlines[at] ?? 0)),
            });
            return sendAll(next, [{ kind: "start", executor: at, epoch, life, task, run, deadline }]);
        }),
    // Nothing was sent, so nothing can run.
    dropUnsent: state =>
        forEachHeld(state, (controller, index, task, held) => {
            const isStale = held.isStopping || !isReachable(controller, held);
            return held.isClaimed && !held.isSent && isStale
                ? changeController(state, index, loseRun(controller, task))
                : undefined;
        }),
    stop: state =>
        forEachHeld(state, (controller, index, task, held) => {
            const { at, run, isClaimed, isSent, isStopping, isStopAnswered } = held;
            if (!isStopping && !isCarriedOver(controller, held) && !mustStop(controller, task, held)) {
                return undefined;
            }
            const { epoch } = controller;
            const next = changeController(state, index, changeHeld(controller, task, { isStopping: true }));
            const isDue = isClaimed && isSent && controller.isListed[at] === true && !isStopAnswered
                && !isStopUnderWay(state, epoch, task, run);
            if (!isDue) {
                return isStopping ? undefined : next;
            }
            return sendAll(next, [{ kind: "stop", executor: at, epoch, task, run }]);
        }),
    // The policy takes a run away for another job.
    preempt: state => {
        const next = spendFault(state);
        return next === undefined ? [] : forEachHeld(next, (controller, index, task, { isStopping }) =>
            isStopping
                ? undefined
                : changeController(next, index, changeHeld(controller, task, { isStopping: true })));
    },
    // Extends the lease and acknowledges ends that are durable.
    renew: (state, { guards }) =>
        forEachLink(state, (controller, index, executor) => {
            const { epoch, lives, deadlines, durable, acknowledged, isListed } = controller;
            const known = deadlines[executor] ?? 0;
            const deadline = guards.hasAuthority(controller, state.tick)
                ? Math.max(known, state.tick + LEASE_TICKS)
                : known;
            const ended = durable[executor] ?? 0;
            const isDue = isListed[executor] === true && (deadline > known || ended > (acknowledged[executor] ?? 0));
            if (!isDue) {
                return undefined;
            }
            const next = changeController(state, index, {
                deadlines: replaceAt(deadlines, executor, deadline),
                acknowledged: replaceAt(acknowledged, executor, ended),
            });
            const life = lives[executor] ?? 0;
            return sendAll(next, [{ kind: "lease", executor, epoch, life, deadline, acknowledged: ended }]);
        }),
} satisfies Readonly<Record<string, ControlRule>>;
