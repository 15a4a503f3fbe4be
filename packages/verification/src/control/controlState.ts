/** Sizes that bound the state space. */
export interface ControlBounds {
    readonly controllers: number;
    readonly executors: number;
    /** Tasks of the one job: one, or the members of a gang. */
    readonly tasks: number;
    readonly maxEpoch: number;
    readonly maxRuns: number;
    readonly maxLives: number;
    readonly maxTicks: number;
    /** Crashes, restarts, broken connections, lost answers, failures, preemptions and repeated orders in one run. */
    readonly faults: number;
}

/** A deadline lies so many ticks ahead. All clocks tick together, so the model needs no margin for drift. */
export const LEASE_TICKS = 1;

/** Ticks after its last renewal in which a controller may give deadlines and send orders. */
export const AUTHORITY_TICKS = 0;

/** Last tick in which the authority of a controller lasts; a start is refused after it. */
export const authorityEnd = ({ renewedAt }: Controller): number => renewedAt + AUTHORITY_TICKS;

/** One task in the row `run/ID`; `at` is -1 without a placement. */
export interface TaskRow {
    readonly run: number;
    readonly at: number;
    /** Incarnation of the executor. */
    readonly life: number;
    readonly isDone: boolean;
    /** A gang counts its failures at its first member. */
    readonly failures: number;
    readonly failedRun: number;
}

/** The row `run/ID`. */
export interface RunRow {
    readonly tasks: readonly TaskRow[];
    readonly isCancelled: boolean;
}

/** The rows; the version of `role` is its epoch. */
export interface ControlStore {
    readonly epoch: number;
    /** Whether the row `cancel/ID` is present. */
    readonly isCancelRequested: boolean;
    readonly row: RunRow;
    readonly version: number;
}

/** A run from its claim to its end, as a controller knows it. */
export interface HeldRun {
    readonly run: number;
    readonly at: number;
    readonly life: number;
    /** The claim was written by an earlier controller. */
    readonly isInherited: boolean;
    /** The claim is durable. */
    readonly isClaimed: boolean;
    readonly isSent: boolean;
    readonly isStartAnswered: boolean;
    /** The incarnation `life` has listed the run. */
    readonly isListed: boolean;
    readonly isStopping: boolean;
    readonly isStopAnswered: boolean;
}

/** A write whose answer was lost, with what becomes durable by it. */
export interface PendingWrite {
    readonly value: RunRow;
    readonly version: number;
    readonly seen: readonly number[];
    readonly lives: readonly number[];
}

/** An entry process; epoch 0 means that it does not believe to hold the role. Lists have one place an executor. */
export interface Controller {
    readonly epoch: number;
    /** Tick of the last successful renewal of the term. */
    readonly renewedAt: number;
    readonly row: RunRow;
    /** What is known to be in the store. */
    readonly written: RunRow;
    readonly version: number;
    /** One place a task. */
    readonly held: readonly (HeldRun | undefined)[];
    /** Whether the executor has listed its runs over the open connection. */
    readonly isListed: readonly boolean[];
    /** Incarnation of each executor that was seen last; 0 while unknown. */
    readonly lives: readonly number[];
    /** Highest deadline that the executor may have. */
    readonly deadlines: readonly number[];
    /** Number of the last end that was taken in, that is durable, and that was acknowledged. */
    readonly seen: readonly number[];
    readonly durable: readonly number[];
    readonly acknowledged: readonly number[];
    /** A run that ended as done after it was taken as lost, while another run of the task may exist; 0 for none. */
    readonly lateDone: number;
    readonly pending: PendingWrite | undefined;
}

export interface ActiveRun {
    readonly task: number;
    readonly run: number;
    readonly isStopping: boolean;
}

export type EndKind = "done" | "failed" | "stopped" | "lapsed";

export interface RunEnd {
    readonly number: number;
    readonly task: number;
    readonly run: number;
    readonly kind: EndKind;
}

/** An executor in one of its incarnations. */
export interface Executor {
    readonly life: number;
    /** Highest fencing token that it has seen. */
    readonly token: number;
    /** Highest epoch that its agent has accepted, which outlasts the incarnation. */
    readonly agentEpoch: number;
    readonly lease: number;
    readonly running: readonly ActiveRun[];
    /** For each task the highest run that ended or was stopped here. */
    readonly stopped: readonly number[];
    /** Ends that are not acknowledged. */
    readonly ends: readonly RunEnd[];
    readonly lastEnd: number;
}

/** What an executor lists at one moment. */
export type ListedRuns = Pick<Executor, "life" | "running" | "ends">;

interface Order {
    readonly executor: number;
    readonly epoch: number;
    readonly task: number;
    readonly run: number;
}

/** What is in flight: it may arrive next, late or never. */
export type ControlMessage =
    | Order & { readonly kind: "start"; readonly life: number; readonly deadline: number; }
    | Order & { readonly kind: "stop"; }
    | {
        readonly kind: "lease";
        readonly executor: number;
        readonly epoch: number;
        readonly life: number;
        readonly deadline: number;
        readonly acknowledged: number;
    }
    /** A list that the executor gave to its agent; `before` names the tasks whose stop was answered after it. */
    | {
        readonly kind: "report";
        readonly executor: number;
        readonly epoch: number;
        readonly listed: ListedRuns;
        readonly before: readonly number[];
    }
    /** A write without an answer that takes effect later while its conditions hold. */
    | { readonly kind: "write"; readonly epoch: number; readonly version: number; readonly value: RunRow; };

export type ControlMessageOf<K extends ControlMessage["kind"]> = ControlMessage & { readonly kind: K; };

/** What only the model records. */
export interface RunHistory {
    readonly doneRuns: readonly number[];
    readonly failedRuns: readonly number[];
    /** Whether an end `done` was acknowledged. */
    readonly isDoneAcknowledged: boolean;
}

/** One state of the protocol of jobs of steps. */
export interface ControlState {
    readonly tick: number;
    readonly store: ControlStore;
    readonly controllers: readonly Controller[];
    readonly executors: readonly Executor[];
    readonly messages: readonly ControlMessage[];
    readonly history: RunHistory;
    readonly faultsLeft: number;
}

export const fill = <T>(count: number, value: T): readonly T[] => Array.from({ length: count }, () => value);

const UNSTARTED: TaskRow = { run: 0, at: -1, life: 0, isDone: false, failures: 0, failedRun: 0 };

const emptyRow = ({ tasks }: ControlBounds): RunRow => ({ tasks: fill(tasks, UNSTARTED), isCancelled: false });

/** An entry that does not hold the role. */
export const observer = (bounds: ControlBounds): Controller => ({
    epoch: 0,
    renewedAt: 0,
    row: emptyRow(bounds),
    written: emptyRow(bounds),
    version: 0,
    held: fill(bounds.tasks, undefined),
    isListed: fill(bounds.executors, false),
    lives: fill(bounds.executors, 0),
    deadlines: fill(bounds.executors, 0),
    seen: fill(bounds.executors, 0),
    durable: fill(bounds.executors, 0),
    acknowledged: fill(bounds.executors, 0),
    lateDone: 0,
    pending: undefined,
});

/** An incarnation that has just begun. */
export const freshExecutor = (life: number, { tasks }: ControlBounds, agentEpoch = 0): Executor => ({
    life,
    token: 0,
    agentEpoch,
    lease: 0,
    running: [],
    stopped: fill(tasks, 0),
    ends: [],
    lastEnd: 0,
});

/** The state in which a job was accepted and nothing else has happened. */
export const initialControlState = (bounds: ControlBounds): ControlState => ({
    tick: 0,
    store: { epoch: 0, isCancelRequested: false, row: emptyRow(bounds), version: 0 },
    controllers: fill(bounds.controllers, observer(bounds)),
    executors: fill(bounds.executors, freshExecutor(1, bounds)),
    messages: [],
    history: { doneRuns: [], failedRuns: [], isDoneAcknowledged: false },
    faultsLeft: bounds.faults,
});
