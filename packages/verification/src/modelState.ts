/** A job of the model; the gang has one member with one accelerator on each of `members` agents. */
export interface ModelJob {
    readonly members: number;
    readonly idempotent: boolean;
}

/** Sizes that bound the state space. */
export interface Bounds {
    readonly holders: number;
    readonly agents: number;
    readonly accelerators: number;
    readonly jobs: readonly ModelJob[];
    readonly maxEpoch: number;
    /** Attempts for each job. */
    readonly maxTries: number;
    readonly maxConfig: number;
    /** Crashes, restarts, outages, lost answers and repeated messages in one run. */
    readonly faults: number;
}

/** Lease of an agent in ticks; the holder waits one tick longer before it counts a member as lost. */
export const LEASE_TICKS = 2;
export const CONTACT_TICKS = LEASE_TICKS + 1;

/** Time to live of a reservation in ticks; it is shorter than a lease, as in the code. */
export const RESERVATION_TICKS = 1;

export type JobStatus = "absent" | "queued" | "running" | "finished" | "failed" | "cancelled";
export type Told = "" | "no" | "yes" | "unknown";

/** The row of a job, and what only the model records of it. */
export interface JobState {
    readonly status: JobStatus;
    readonly version: number;
    readonly attempts: number;
    readonly attempt: string;
    readonly members: readonly number[];
    readonly cancelRequested: boolean;
    /** What the caller is told about whether the job ran. */
    readonly ran: Told;
    /** Whether a caller was told that the job is accepted. */
    readonly accepted: boolean;
    /** Attempts made so far; it gives each attempt an id of its own. */
    readonly tries: number;
    /** Attempts of which a member has started. */
    readonly started: readonly string[];
}

export type MemberEnd = "" | "finished" | "stopped" | "lost" | "neverStarted";

/** An attempt as a holder follows it. */
export interface AttemptTask {
    readonly job: number;
    readonly id: string;
    readonly members: readonly number[];
    /** Instances of the agents that made the reservations; 0 while unknown. */
    readonly instances: readonly number[];
    readonly phase: "reserving" | "unclear" | "started" | "stopping";
    readonly ends: readonly MemberEnd[];
    /** Version of the row that the claim depends on. */
    readonly version: number;
    /** Whether the attempt started in an outage without a claim in the row. */
    readonly deferred: boolean;
}

/** An entry process; epoch 0 means that it does not believe to hold the role. */
export interface Holder {
    readonly epoch: number;
    /** Instance of each agent that has accepted the epoch; 0 for none. */
    readonly fenced: readonly number[];
    /** Ticks until an agent that is not heard of counts as lost. */
    readonly contact: readonly number[];
    readonly tasks: readonly AttemptTask[];
}

export interface ModelTask {
    readonly id: string;
    readonly state: "reserved" | "running" | "stopped" | "finished";
    readonly ticksLeft: number;
}

export interface ModelAgent {
    readonly instance: number;
    readonly epoch: number;
    readonly lease: number;
    readonly config: number;
    readonly tasks: readonly ModelTask[];
    readonly revoked: readonly string[];
}

export type OrderKind = "fence" | "reserve" | "start" | "stop";
export type Outcome = "fenced" | "reserved" | "started" | "stopped" | "finished" | "neverStarted" | "refused";

/**
 * A message from a holder to an agent. Any of them may be delivered next, or never. An answer arrives with the
 * delivery of its order or not at all: one that comes later finds the holder as it is then, or gone, and either way
 * leads to a state that an order delivered later leads to as well.
 */
export type Message =
    | { readonly kind: OrderKind; readonly agent: number; readonly epoch: number; readonly id: string; }
    /** A lease grant; `left` counts down from when the agent sent its report. */
    | { readonly kind: "grant"; readonly agent: number; readonly epoch: number; readonly left: number; }
    | { readonly kind: "config"; readonly agent: number; readonly version: number; };

/** The platform's table: role row, epoch row and configuration; the jobs' rows are in `jobs`. */
export interface StoreState {
    readonly isUp: boolean;
    readonly epoch: number;
    /** Index of the holder in the role row; -1 when released. */
    readonly holder: number;
    readonly config: number;
}

/** One state of the model. */
export interface ModelState {
    readonly store: StoreState;
    readonly jobs: readonly JobState[];
    readonly holders: readonly Holder[];
    readonly agents: readonly ModelAgent[];
    readonly messages: readonly Message[];
    readonly faultsLeft: number;
}

const repeat = <T>(count: number, value: T): readonly T[] => Array.from({ length: count }, () => value);

/** A process that does not hold the role. */
export const observer = (agents: number): Holder => ({
    epoch: 0,
    fenced: repeat(agents, 0),
    contact: repeat(agents, 0),
    tasks: [],
});

/** The state in which nothing has happened. */
export const initialState = (bounds: Bounds): ModelState => ({
    store: { isUp: true, epoch: 0, holder: -1, config: 1 },
    jobs: bounds.jobs.map(() => ({
        status: "absent",
        version: 0,
        attempts: 0,
        attempt: "",
        members: [],
        cancelRequested: false,
        ran: "",
        accepted: false,
        tries: 0,
        started: [],
    })),
    holders: repeat(bounds.holders, observer(bounds.agents)),
    agents: repeat(bounds.agents, { instance: 1, epoch: 0, lease: 0, config: 0, tasks: [], revoked: [] }),
    messages: [],
    faultsLeft: bounds.faults,
});

const ENDED: Readonly<Record<JobStatus, boolean>> = {
    absent: false,
    queued: false,
    running: false,
    finished: true,
    failed: true,
    cancelled: true,
};

export const hasEnded = ({ status }: JobState): boolean => ENDED[status];

/** Job of an attempt, from the attempt's id. */
export const jobOf = (id: string): number => Number(id.split(".")[0]);

export const holdsAccelerator = ({ state }: ModelTask): boolean => state === "reserved" || state === "running";

/** Ids of attempts that run with some of their members while others neither run nor have finished. */
export const partialAttempts = ({ agents }: ModelState, { jobs }: Bounds): readonly string[] => {
    const tasks = agents.flatMap(agent => agent.tasks);
    const running = new Set(tasks.filter(({ state }) => state === "running").map(({ id }) => id));
    return [...running].filter(id => {
        const active = tasks.filter(task => task.id === id && (task.state === "running" || task.state === "finished"));
        return active.length < (jobs[jobOf(id)]?.members ?? 0);
    });
};
