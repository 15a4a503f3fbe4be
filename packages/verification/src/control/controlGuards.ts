import type { Controller, ControlMessageOf, ControlState, Executor, HeldRun, TaskRow } from "./controlState.js";

type Start = ControlMessageOf<"start">;

/** What happens to an end `done` of a run that was taken as lost. */
export type LateDone = "record" | "wait" | "drop";

/** The conditions that the protocol's safety rests on; a broken rule replaces one of them. */
export interface ControlGuards {
    /** Whether the conditions of a write of `run/ID` hold: `role` and the row are unchanged. */
    readonly mayWrite: (state: ControlState, epoch: number, version: number) => boolean;
    /** Whether a claim suffices for its order. */
    readonly isClaimSafe: (held: HeldRun) => boolean;
    /** Whether the authority behind orders and deadlines is recent enough. */
    readonly hasAuthority: (controller: Controller, tick: number) => boolean;
    /** Whether nothing that the controller has seen speaks against a start whose claim is durable. */
    readonly mayOrder: (controller: Controller, task: number, held: HeldRun) => boolean;
    readonly acceptsToken: (executor: Executor, epoch: number) => boolean;
    /** Whether an order for this run was overtaken by an end or a stop. */
    readonly isOldRun: (executor: Executor, start: Start) => boolean;
    readonly isLate: (start: Start, tick: number) => boolean;
    /**
     * Whether a run is kept once its executor has restarted, because an order to start it may reach the new incarnation.
     */
    readonly keepsAfterRestart: (held: HeldRun, isStartUnderWay: boolean) => boolean;
    /** Whether an acknowledgement that was meant for one incarnation reaches this one. */
    readonly acknowledgesLife: (executor: Executor, life: number) => boolean;
    /** Whether the runs of an executor that is not listed count as gone. */
    readonly mayGiveUp: (controller: Controller, executor: number, tick: number) => boolean;
    /** Whether a run counts as gone by a list, which may be older than the answer to its stop. */
    readonly isGone: (held: HeldRun, isRunning: boolean, isOlder: boolean) => boolean;
    /** Whether ends are acknowledged only when they are in the row. */
    readonly acknowledgesDurable: boolean;
    readonly lateDone: (controller: Controller) => LateDone;
    readonly countsFailure: (counted: TaskRow, run: number) => boolean;
}
