import type { BrokenRuleOf } from "../protocolSpecification.js";
import type { ControlGuards } from "./controlGuards.js";
import type { ControlInvariantName } from "./controlInvariants.js";
import type { ControlScopeName } from "./controlScopes.js";
import { CONTROL_GUARDS } from "./specifiedControlGuards.js";

/** One fault of the protocol each; the exploration has to find a counterexample to every one. */
export const CONTROL_BROKEN_RULES = {
    writeWithoutConditions: {
        description: "A claim is written whatever the role and the row have become.",
        violates: "acknowledgedIsRecorded",
        scope: "twoControllers",
        guards: { mayWrite: () => true },
    },
    orderBeforeWrite: {
        description: "A start is ordered before its claim is durable.",
        violates: "startIsClaimed",
        scope: "twoControllers",
        guards: { isClaimSafe: () => true },
    },
    orderAfterAuthority: {
        description: "A controller orders starts however long ago it renewed its term.",
        violates: "orderedWithinAuthority",
        scope: "twoControllers",
        guards: { hasAuthority: () => true },
    },
    orderAfterCancellation: {
        description: "A start whose claim has become durable is ordered although the job was cancelled.",
        violates: "cancelledIsNotOrdered",
        scope: "cancellation",
        guards: { mayOrder: () => true },
    },
    orderWithoutToken: {
        description: "Executors take orders under any token.",
        violates: "acknowledgedIsRecorded",
        scope: "twoControllers",
        guards: { acceptsToken: () => true },
    },
    placeBeforeListing: {
        description: "A new controller takes runs of executors that it has not listed as gone.",
        violates: "oneRunAtOneTime",
        scope: "twoControllers",
        guards: {
            mayGiveUp: (controller, executor, tick) =>
                controller.lives[executor] === 0 || CONTROL_GUARDS.mayGiveUp(controller, executor, tick),
        },
    },
    goneBeforeLapse: {
        description: "A controller takes runs of a silent executor as gone before its lease has lapsed.",
        violates: "oneRunAtOneTime",
        scope: "silence",
        guards: { mayGiveUp: () => true },
    },
    freeAtStop: {
        description: "A run counts as gone as soon as the stop is answered.",
        violates: "oneRunAtOneTime",
        scope: "repetition",
        guards: {
            isGone: (held, isRunning, isOlder) =>
                held.isStopAnswered || CONTROL_GUARDS.isGone(held, isRunning, isOlder),
        },
    },
    goneByOlderList: {
        description: "A stopped run counts as gone by a list that is older than the answer to the stop.",
        violates: "oneRunAtOneTime",
        scope: "reports",
        guards: { isGone: (held, isRunning) => CONTROL_GUARDS.isGone(held, isRunning, false) },
    },
    startStoppedRun: {
        description: "Executors start a run that was stopped or has ended there.",
        violates: "noStartAfterDone",
        scope: "repetition",
        guards: { isOldRun: () => false },
    },
    startAfterDeadline: {
        description: "Executors take an order whose deadline has passed.",
        violates: "oneRunAtOneTime",
        scope: "silence",
        guards: { isLate: () => false },
    },
    loseRunsOfOlderLife: {
        description:
            "A run counts as gone once its executor has restarted, although its order may still start it there.",
        violates: "oneRunAtOneTime",
        scope: "lives",
        guards: { keepsAfterRestart: () => false },
    },
    acknowledgeOlderLife: {
        description:
            "An acknowledgement for an older incarnation reaches the next one, whose ends have the same numbers.",
        violates: "acknowledgedIsRecorded",
        scope: "restart",
        guards: { acknowledgesLife: () => true },
    },
    acknowledgeBeforeWrite: {
        description: "An end is acknowledged before it is in the row.",
        violates: "acknowledgedIsRecorded",
        scope: "twoControllers",
        guards: { acknowledgesDurable: false },
    },
    dropLateDone: {
        description: "An end `done` of a run that was taken as lost is acknowledged and not recorded.",
        violates: "acknowledgedIsRecorded",
        scope: "silence",
        guards: { lateDone: () => "drop" },
    },
    dropLateDoneAfterTakeover: {
        description: "The same, when a new controller took the run as lost.",
        violates: "acknowledgedIsRecorded",
        scope: "twoControllers",
        guards: { lateDone: () => "drop" },
    },
    recordLateDone: {
        description: "An end `done` of a run that was taken as lost is recorded and acknowledged at once.",
        violates: "noStartAfterDone",
        scope: "silence",
        guards: { lateDone: () => "record" },
    },
    recordLateGang: {
        description: "An end `done` of a gang that was taken as lost is recorded at once.",
        violates: "gangEndsOnce",
        scope: "lateGang",
        guards: { lateDone: () => "record" },
    },
    countEveryFailure: {
        description: "Each failed member of a gang counts as a failure.",
        violates: "failureCountedOnce",
        scope: "gang",
        guards: { countsFailure: () => true },
    },
    countLateFailureAgain: {
        description: "A failure is counted unless its run is the last one that was counted.",
        violates: "failureCountedOnce",
        scope: "failures",
        guards: { countsFailure: ({ failedRun }, run) => failedRun !== run },
    },
} as const satisfies Readonly<Record<string, BrokenRuleOf<ControlInvariantName, ControlScopeName, ControlGuards>>>;
export type ControlBrokenRuleName = keyof typeof CONTROL_BROKEN_RULES;
