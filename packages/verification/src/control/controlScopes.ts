import type { ScopeOf } from "../protocolSpecification.js";
import { changeController, changeExecutor, changeStore } from "./controlRule.js";
import type { ControlRuleName } from "./controlRules.js";
import type { ControlBounds, ControlState } from "./controlState.js";
import { initialControlState, LEASE_TICKS } from "./controlState.js";

/** One part of the protocol of jobs of steps. */
export type ControlScope = ScopeOf<ControlBounds, ControlRuleName>;

const SIZES = {
    controllers: 2,
    executors: 2,
    tasks: 1,
    maxEpoch: 2,
    maxRuns: 2,
    maxLives: 1,
    maxTicks: 2,
    faults: 1,
} as const;

const ONE_CONTROLLER = { ...SIZES, controllers: 1, maxEpoch: 1 } as const;

const SMALL = {
    twoControllers: {
        description: "two controllers, late orders and lapsing leases under one task",
        bounds: { ...SIZES, faults: 0 },
        without: ["report", "cancel"],
        isReady: true,
    },
    store: {
        description: "writes whose answers are lost, and a second controller",
        bounds: { ...SIZES, faults: 2 },
        without: ["report", "cancel", "tick", "failRun", "preempt", "repeat", "detach", "restartExecutor", "renew"],
        isReady: true,
    },
    silence: {
        description: "an executor that falls silent and returns with a late end",
        bounds: ONE_CONTROLLER,
        without: ["report", "cancel", "crashController", "failRun", "repeat"],
        isReady: true,
    },
    repetition: {
        description: "orders that are repeated, stopped and refused",
        bounds: { ...ONE_CONTROLLER, maxTicks: 1, faults: 2 },
        without: ["report", "cancel", "crashController", "detach"],
        isReady: true,
    },
    lives: {
        description: "a new incarnation of an executor under two controllers",
        bounds: { ...SIZES, maxLives: 2, maxTicks: 0 },
        without: ["report", "cancel", "preempt"],
        isReady: true,
    },
    restart: {
        description: "acknowledgements of one executor over its incarnations",
        bounds: { ...ONE_CONTROLLER, executors: 1, maxLives: 2, maxTicks: 1, faults: 2 },
        without: ["report", "cancel"],
        isReady: true,
    },
    cancellation: {
        description: "a cancellation at any moment, stops and a second controller",
        bounds: { ...SIZES, maxTicks: 1, faults: 0 },
        without: ["report"],
        isReady: true,
    },
    gang: {
        description: "a gang of two whose members fail and are stopped",
        bounds: { ...ONE_CONTROLLER, tasks: 2, maxTicks: 0, faults: 2 },
        without: ["report", "cancel", "renew", "crashController", "detach", "repeat"],
        isReady: true,
    },
    lateGang: {
        description: "a gang of two on an executor that falls silent and returns with a late end",
        bounds: { ...ONE_CONTROLLER, tasks: 2 },
        without: ["report", "cancel", "renew", "crashController", "failRun", "preempt", "repeat", "restartExecutor"],
        isReady: true,
    },
    failures: {
        description: "failures that are listed to two controllers",
        bounds: { ...SIZES, executors: 1, maxTicks: 0, faults: 2 },
        without: ["report", "cancel", "renew", "preempt", "repeat", "detach", "crashController"],
        isReady: true,
    },
    gangTakeover: {
        description: "a second controller takes over while a gang is started, stopped or ends",
        bounds: { ...SIZES, tasks: 2, maxTicks: 0, faults: 0 },
        without: ["report", "cancel", "renew"],
        isReady: true,
    },
    reports: {
        description: "reports that are overtaken by the answer to a stop",
        bounds: { ...SIZES, maxTicks: 0 },
        without: ["cancel", "crashController", "failRun", "repeat", "restartExecutor"],
        isReady: true,
    },
} as const satisfies Readonly<Record<string, ControlScope>>;
export type ControlScopeName = keyof typeof SMALL;

/** Scopes that CI explores. */
export const CONTROL_SCOPES: Readonly<Record<ControlScopeName, ControlScope>> = SMALL;

/** Larger scopes, which are explored on request. */
export const LARGE_CONTROL_SCOPES: Readonly<Record<string, ControlScope>> = {
    wholeControl: {
        description: "everything together, from an empty store",
        bounds: { ...SIZES, tasks: 2, maxEpoch: 3, maxRuns: 3, maxLives: 2, maxTicks: 4, faults: 3 },
        without: [],
        isReady: false,
    },
    silentTakeover: {
        description: "a second controller while an executor falls silent, restarts or repeats an order",
        bounds: { ...SIZES, maxLives: 2, faults: 1 },
        without: ["cancel"],
        isReady: true,
    },
    gangLapse: {
        description: "a second controller takes over while leases under a gang lapse",
        bounds: { ...SIZES, tasks: 2, faults: 0 },
        without: ["report", "cancel", "renew"],
        isReady: true,
    },
    wholeGang: {
        description: "all rules under a gang and two controllers",
        bounds: { ...SIZES, tasks: 2, faults: 2 },
        without: [],
        isReady: true,
    },
};

/** Controller 0 has the role and has listed all executors. */
const makeReady = (state: ControlState): ControlState => {
    const { executors } = state;
    const shown = executors.reduce(
        (next, _, executor) => changeExecutor(next, executor, { token: 1, agentEpoch: 1 }),
        state,
    );
    return changeController(changeStore(shown, { epoch: 1 }), 0, {
        epoch: 1,
        isListed: executors.map(() => true),
        lives: executors.map(({ life }) => life),
        deadlines: executors.map(() => LEASE_TICKS),
    });
};

export const controlStartOf = ({ bounds, isReady }: ControlScope): ControlState =>
    isReady ? makeReady(initialControlState(bounds)) : initialControlState(bounds);
