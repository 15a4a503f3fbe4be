import type { ControlRule } from "./controlRule.js";
import { changeController, changeStore, forEachController, spendFault } from "./controlRule.js";
import type { Controller, ControlState, HeldRun, TaskRow } from "./controlState.js";
import { AUTHORITY_TICKS, LEASE_TICKS, observer } from "./controlState.js";

/** The run that a new controller finds in a row. */
const inherit = ({ run, at, life, isDone }: TaskRow): HeldRun | undefined =>
    at < 0 || isDone ? undefined : {
        run,
        at,
        life,
        isInherited: true,
        isClaimed: true,
        isSent: true,
        isStartAnswered: false,
        isListed: false,
        isStopping: false,
        isStopAnswered: false,
    };

/** An entry whose replica holds everything that was written before it took the role. */
const newController = ({ tick, store, executors }: ControlState, before: Controller): Controller => ({
    ...before,
    epoch: store.epoch + 1,
    renewedAt: tick,
    row: store.row,
    written: store.row,
    version: store.version,
    held: store.row.tasks.map(inherit),
    // The controller before may have given deadlines for as long as its authority lasts.
    deadlines: executors.map(() => tick + AUTHORITY_TICKS + LEASE_TICKS),
});

/** How an entry takes and loses the role, and how a cancellation comes about. */
export const ROLE_RULES = {
    // At any moment: the holder is silent, paused, released the role or reset its connections.
    takeRole: (state, { bounds }) =>
        state.controllers.flatMap((controller, index) =>
            controller.epoch > 0 || state.store.epoch >= bounds.maxEpoch ? [] : [{
                subject: { controller: index },
                state: changeController(
                    changeStore(state, { epoch: state.store.epoch + 1 }),
                    index,
                    newController(state, controller),
                ),
            }]
        ),
    // A renewal of the term fails on `role`.
    loseRole: (state, { bounds }) =>
        forEachController(
            state,
            ({ epoch }, index) =>
                epoch < state.store.epoch ? changeController(state, index, observer(bounds)) : undefined,
        ),
    crashController: (state, { bounds }) => {
        const next = spendFault(state);
        return next === undefined ? [] : forEachController(
            next,
            (_, index) => changeController(next, index, observer(bounds)),
        );
    },
    cancel: state =>
        state.store.isCancelRequested
            ? []
            : [{ subject: {}, state: changeStore(state, { isCancelRequested: true }) }],
    // A job that has ended is not cancelled any more.
    seeCancel: state =>
        forEachController(
            state,
            ({ row }, index) =>
                state.store.isCancelRequested && !row.isCancelled && row.tasks.some(({ isDone }) => !isDone)
                    ? changeController(state, index, { row: { ...row, isCancelled: true } })
                    : undefined,
        ),
} satisfies Readonly<Record<string, ControlRule>>;
