import type { ControlModel, ControlRule, ControlSuccessor } from "./controlRule.js";
import { changeController, changeStore, isSame, sendAll, spendFault } from "./controlRule.js";
import type { Controller, ControlMessageOf, ControlState, PendingWrite } from "./controlState.js";
import { observer } from "./controlState.js";

/** What becomes durable with the row as it is now. */
const snapshotOf = ({ row, version, seen, lives }: Controller): PendingWrite => ({ value: row, version, seen, lives });

/** The controller once it knows that its write took effect. */
const settle = (controller: Controller, { value, seen, lives }: PendingWrite, version: number): Controller => ({
    ...controller,
    written: value,
    version,
    pending: undefined,
    // An end of an older incarnation is not acknowledged to the next one.
    durable: controller.durable.map((old, executor) =>
        lives[executor] === controller.lives[executor] ? seen[executor] ?? old : old
    ),
    held: controller.held.map((held, task) =>
        held !== undefined && value.tasks[task]?.run === held.run ? { ...held, isClaimed: true } : held
    ),
});

const put = (state: ControlState, { value }: Pick<PendingWrite, "value">): ControlState =>
    changeStore(state, { row: value, version: state.store.version + 1 });

/** A write that is answered. */
const succeed = (state: ControlState, index: number, controller: Controller, write: PendingWrite): ControlState => {
    const next = put(state, write);
    return changeController(next, index, settle(controller, write, next.store.version));
};

/** A write whose answer is lost: it took effect, or it takes effect later or never. */
const failUnclear = (
    state: ControlState,
    index: number,
    write: PendingWrite,
    epoch: number,
): readonly ControlSuccessor[] => {
    const next = spendFault(state);
    if (next === undefined) {
        return [];
    }
    const waiting = changeController(next, index, { pending: write });
    const { value, version } = write;
    return [
        { subject: { controller: index, outcome: "answer lost" }, state: put(waiting, write) },
        {
            subject: { controller: index, outcome: "under way" },
            state: sendAll(waiting, [{ kind: "write", epoch, version, value }]),
        },
    ];
};

const giveUpRole = (state: ControlState, index: number, { bounds }: ControlModel): ControlSuccessor => ({
    subject: { controller: index, outcome: "conflict" },
    state: changeController(state, index, observer(bounds)),
});

/** Whether the row shows that the first copy of a write took effect. */
const tookEffect = ({ store }: ControlState, { value }: PendingWrite): boolean => isSame(store.row, value);

const isDirty = ({ row, written }: Controller): boolean => !isSame(row, written);

/** How the row of the job is written. */
export const WRITE_RULES = {
    write: (state, model) =>
        state.controllers.flatMap((controller, index) => {
            const { epoch, pending, version } = controller;
            if (epoch === 0 || pending !== undefined || !isDirty(controller)) {
                return [];
            }
            if (!model.guards.mayWrite(state, epoch, version)) {
                return [giveUpRole(state, index, model)];
            }
            const snapshot = snapshotOf(controller);
            return [
                { subject: { controller: index }, state: succeed(state, index, controller, snapshot) },
                ...failUnclear(state, index, snapshot, epoch),
            ];
        }),
    // The same conditions and values again: that succeeds, or the conflict shows whether the first copy took effect.
    repeatWrite: (state, model) =>
        state.controllers.flatMap((controller, index) => {
            const { epoch, pending } = controller;
            if (pending === undefined) {
                return [];
            }
            if (model.guards.mayWrite(state, epoch, pending.version)) {
                return [{ subject: { controller: index }, state: succeed(state, index, controller, pending) }];
            }
            return tookEffect(state, pending)
                ? [{
                    subject: { controller: index },
                    state: changeController(state, index, settle(controller, pending, state.store.version)),
                }]
                : [giveUpRole(state, index, model)];
        }),
} satisfies Readonly<Record<string, ControlRule>>;

/** A write that arrives late. */
export const deliverWrite = (
    state: ControlState,
    { epoch, version, value }: ControlMessageOf<"write">,
    { guards }: ControlModel,
): readonly ControlSuccessor[] =>
    guards.mayWrite(state, epoch, version) ? [{ subject: {}, state: put(state, { value }) }] : [];
