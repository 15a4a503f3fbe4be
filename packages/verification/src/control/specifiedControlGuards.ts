import type { ControlGuards } from "./controlGuards.js";
import { mustStop } from "./controllerView.js";
import { AUTHORITY_TICKS } from "./controlState.js";

/** The protocol as specified. */
export const CONTROL_GUARDS: ControlGuards = {
    mayWrite: ({ store }, epoch, version) => store.epoch === epoch && store.version === version,
    isClaimSafe: ({ isClaimed }) => isClaimed,
    hasAuthority: ({ renewedAt }, tick) => tick - renewedAt <= AUTHORITY_TICKS,
    mayOrder: (controller, task, held) => !mustStop(controller, task, held),
    acceptsToken: ({ token }, epoch) => epoch >= token,
    isOldRun: ({ stopped }, { task, run }) => run <= (stopped[task] ?? 0),
    isLate: ({ deadline }, tick) => deadline < tick,
    keepsAfterRestart: ({ isInherited, isStartAnswered, isListed }, isStartUnderWay) =>
        isStartUnderWay || (!isListed && (isInherited || isStartAnswered)),
    acknowledgesLife: (executor, life) => executor.life === life,
    mayGiveUp: ({ deadlines }, executor, tick) => tick > (deadlines[executor] ?? 0),
    isGone: ({ isInherited, isStopAnswered }, isRunning, isOlder) =>
        !isRunning && (isInherited || (isStopAnswered && !isOlder)),
    acknowledgesDurable: true,
    // Recording it at once would let another run start after its acknowledgement, or end a gang beside another run.
    lateDone: ({ held }) => held.every(other => other === undefined) ? "record" : "wait",
    // The row remembers the last run whose failure was counted, and ends are listed until they are acknowledged.
    countsFailure: ({ failedRun }, run) => run > failedRun,
};
