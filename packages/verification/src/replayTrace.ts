import type { Attempt } from "@persimmonpitch/schema/job.js";
import type { JobState, MessageOf, ModelState, OrderKind } from "./modelState.js";
import { hasEnded, jobOf, LEASE_TICKS } from "./modelState.js";
import { ReplayWorld, TICK_MS } from "./replayWorld.js";
import type { Subject } from "./rule.js";
import type { Scope } from "./scopes.js";
import { startOf } from "./scopes.js";
import type { RuleName, Step } from "./specification.js";

/** Time for the worker runtime to carry out an order. */
const ORDER_MS = 5;

/** Time within which the worker watch sees that a task has ended. */
const WATCH_MS = 1_500;

/** Pace at which a task of the replay ends at once. */
const FAST = 1e12;

/** Time within which a holder renews its role, or learns that it has lost it. */
const RENEW_MS = 2_500;

type Order = MessageOf<OrderKind>;
type Grant = MessageOf<"grant">;

const sendOrder: { readonly [K in OrderKind]: (world: ReplayWorld, order: Order) => Promise<unknown>; } = {
    fence: async (world, { agent, epoch }) => world.agents[agent]?.handlers["task.fence"]({ epoch }),
    reserve: async (world, { agent, epoch, id }) =>
        world.agents[agent]?.handlers["task.reserve"]({
            epoch,
            attemptId: id,
            jobId: `job-${jobOf(id)}`,
            accelerators: 1,
            cores: 0,
            memoryMb: 0,
            spansVms: (world.bounds.jobs[jobOf(id)]?.members ?? 0) > 1,
            timeToLiveMs: world.tickStart + TICK_MS - world.clock.now(),
        }),
    start: async (world, { agent, epoch, id }) =>
        world.agents[agent]?.handlers["task.start"]({
            epoch,
            attemptId: id,
            payload: world.specOf(jobOf(id)).payload,
        }),
    stop: async (world, { agent, epoch, id }) =>
        world.agents[agent]?.handlers["task.stop"]({ epoch, attemptId: id, checkpoint: false, graceMs: 0 }),
};

const takeGrant = (world: ReplayWorld, { agent, epoch, left }: Grant): void => {
    const sentAt = world.tickStart - (LEASE_TICKS - left) * TICK_MS;
    world.agents[agent]?.lease.applyGrant({ epoch, grantMs: LEASE_TICKS * TICK_MS, configVersion: 0 }, sentAt);
};

const deliver = async (world: ReplayWorld, { message }: Subject): Promise<void> => {
    if (message?.kind === "grant") {
        takeGrant(world, message);
    }
    else if (message !== undefined && message.kind !== "config") {
        await world.during(ORDER_MS, sendOrder[message.kind](world, message));
    }
};

const attemptOf = (world: ReplayWorld, id: string, holder: number, members: readonly number[]): Attempt => ({
    attemptId: id,
    epoch: world.roles.get(holder)?.epoch ?? 1,
    claimedAt: world.clock.wallTime(),
    members: members.map(agent => ({ vmId: `vm-${agent}`, accelerators: 1 })),
});

/** The task that a step concerns, as its holder knew it before. */
const taskBefore = (before: ModelState, { holder = -1, attempt }: Subject) =>
    before.holders[holder]?.tasks.find(({ id }) => id === attempt);

const claim = async (world: ReplayWorld, { subject }: Step, before: ModelState): Promise<void> => {
    const { holder = 0, attempt = "" } = subject;
    const stored = world.placed.get(attempt);
    const members = taskBefore(before, subject)?.members ?? [];
    if (stored !== undefined) {
        const claimed = attemptOf(world, attempt, holder, members);
        await world.store.claim(stored, claimed, world.epochCheck(holder));
    }
};

/** Writes what the model wrote; an outcome that the model refused to write must fail here by its checks. */
const conclude = async (world: ReplayWorld, { subject, state }: Step, before: ModelState): Promise<void> => {
    const { holder = 0, attempt = "" } = subject;
    const task = taskBefore(before, subject);
    const job = jobOf(attempt);
    const stored = world.storedJob(job);
    const after = state.jobs[job];
    if (stored === undefined || task === undefined || after === undefined) {
        return;
    }
    const isOwn = before.jobs[job]?.version !== after.version;
    if (!isOwn && before.store.epoch === before.holders[holder]?.epoch) {
        // The holder reads the row and finds it ended or claimed anew, so it writes nothing.
        return;
    }
    await writeOutcome(world, stored, isOwn ? after : { ...after, status: "failed", ran: "unknown" }, holder);
};

const writeOutcome = async (
    world: ReplayWorld,
    stored: NonNullable<ReturnType<ReplayWorld["storedJob"]>>,
    { status, ran, attempts }: JobState,
    holder: number,
): Promise<void> => {
    const check = world.epochCheck(holder);
    if (status === "queued") {
        const isNotRun = attempts < stored.record.attempts;
        await world.store.requeue(stored, { isNotRun }, "requeued", "", check);
    }
    else if ((status === "finished" || status === "failed" || status === "cancelled") && ran !== "") {
        await world.store.recordOutcome(stored, status, { ran, code: "replay", detail: "" }, check);
    }
};

const finish = async (world: ReplayWorld, { subject: { attempt = "", agents = [] } }: Step): Promise<void> => {
    await world.agents[agents[0] ?? 0]?.worker.throttle(attempt, FAST);
    await world.clock.advance(WATCH_MS);
};

type Replay = (world: ReplayWorld, step: Step, before: ModelState) => unknown;

/** The rule only sends messages or changes what a holder remembers; neither is part of the replayed code. */
const nothing: Replay = () => undefined;

const REPLAYS: { readonly [R in RuleName]: Replay; } = {
    accept: (world, { subject: { job = 0 } }) => world.store.accept(world.specOf(job), `job-${job}`),
    cancel: (world, { subject: { job = 0 } }) => world.store.cancel(`job-${job}`),
    loadConfig: nothing,
    pushConfig: nothing,
    outage: world => {
        world.table.faults.down = true;
    },
    storeReturns: world => {
        world.table.faults.down = false;
    },
    crashHolder: (world, { subject: { holder = 0 } }) => world.roles.delete(holder),
    replaceVm: (world, { subject: { agents = [] }, state }) => {
        const index = agents[0] ?? 0;
        world.replaceVm(index, state.agents[index]?.instance ?? 0);
    },
    takeRole: (world, { subject: { holder = 0 } }) => world.takeRole(holder),
    loseRole: async (world, { subject: { holder = 0 } }) => {
        const abort = new AbortController();
        void world.roles.get(holder)?.renewUntilLost(abort.signal);
        await world.clock.advance(RENEW_MS);
        abort.abort();
        if (world.roles.get(holder)?.isLost === true) {
            world.roles.delete(holder);
        }
    },
    releaseRole: async (world, { subject: { holder = 0 } }) => {
        await world.roles.get(holder)?.release();
        world.roles.delete(holder);
    },
    fence: nothing,
    reserve: (world, { subject: { attempt = "" } }) => {
        const stored = world.storedJob(jobOf(attempt));
        return stored === undefined ? undefined : world.placed.set(attempt, stored);
    },
    claim,
    claimAnswerLost: async (world, step, before) => {
        world.table.faults.loseAnswers = 1;
        await claim(world, step, before);
    },
    settleClaim: nothing,
    deferClaim: claim,
    release: nothing,
    stop: nothing,
    stopUnknown: nothing,
    report: nothing,
    conclude,
    concludeUnstarted: async (world, { subject: { job = 0, holder = 0 }, state }) => {
        const stored = world.storedJob(job);
        const after = state.jobs[job];
        await (stored !== undefined && after !== undefined ? writeOutcome(world, stored, after, holder) : undefined);
    },
    finish,
    deliver: (world, { subject }) => deliver(world, subject),
    repeat: (world, { subject }) => deliver(world, subject),
    tick: world => world.tick(),
};

/** What both sides show, in one form. */
interface Observation {
    readonly jobs: readonly unknown[];
    readonly agents: readonly unknown[];
    readonly roles: readonly unknown[];
    readonly role: unknown;
}

const observeModel = ({ jobs, agents, holders, store }: ModelState): Observation => ({
    jobs: jobs.map(job =>
        job.status === "absent" ? undefined : {
            status: job.status,
            version: job.version,
            attempts: job.attempts,
            attempt: hasEnded(job) ? "" : job.attempt,
            cancelRequested: job.cancelRequested,
            ran: job.ran,
        }
    ),
    agents: agents.map(({ epoch, lease, tasks }) => ({
        epoch,
        lease,
        tasks: tasks.map(({ id, state }) => `${id} ${state}`),
        running: tasks.filter(({ state }) => state === "running").map(({ id }) => id),
    })),
    roles: holders.map(({ epoch }) => epoch),
    role: store.epoch === 0 ? undefined : { epoch: store.epoch, released: store.holder < 0 },
});

const observeWorld = (world: ReplayWorld): Observation => ({
    jobs: world.bounds.jobs.map((_, index) => {
        const stored = world.storedJob(index);
        return stored === undefined ? undefined : {
            status: stored.record.state,
            version: stored.version,
            attempts: stored.record.attempts,
            attempt: stored.record.outcome === undefined ? stored.record.attempt?.attemptId ?? "" : "",
            cancelRequested: stored.record.cancelRequested,
            ran: stored.record.outcome?.ran ?? "",
        };
    }),
    agents: world.agents.map(({ lease, table, worker }) => ({
        epoch: lease.highestEpoch,
        lease: Math.ceil(lease.remainingMs() / TICK_MS),
        tasks: table.all().map(({ report }) => `${report.attemptId} ${report.state}`).sort(),
        running: worker.runs.filter(({ state }) => state === "running").map(({ attemptId }) => attemptId).sort(),
    })),
    roles: Array.from({ length: world.bounds.holders }, (_, index) => world.roles.get(index)?.epoch ?? 0),
    role: roleOf(world.roleRow()),
});

const roleOf = (row: unknown): unknown => {
    const role = row as { readonly epoch: number; readonly released: boolean; } | undefined;
    return role === undefined ? undefined : { epoch: role.epoch, released: role.released };
};

/** Brings the real parts into the state in which a scope begins. */
const prepare = async (scope: Scope): Promise<ReplayWorld> => {
    const world = new ReplayWorld(scope.bounds);
    if (scope.isReady) {
        for (const job of scope.bounds.jobs.keys()) {
            await world.store.accept(world.specOf(job), `job-${job}`);
        }
        await world.takeRole(0);
        for (const agent of world.agents.keys()) {
            await sendOrder.fence(world, { kind: "fence", agent, epoch: 1, id: "" });
            takeGrant(world, { kind: "grant", agent, epoch: 1, left: LEASE_TICKS });
        }
    }
    return world;
};

/** The first step after which specification and code differ. */
export interface Difference {
    readonly step: number;
    readonly model: Observation;
    readonly code: Observation;
}

/** Replays a run of the model against the real code and compares their states after each step. */
export const replayTrace = async (scope: Scope, steps: readonly Step[]): Promise<Difference | undefined> => {
    const world = await prepare(scope);
    let before = startOf(scope);
    let difference: Difference | undefined;
    for (const [index, step] of steps.entries()) {
        await REPLAYS[step.rule](world, step, before);
        const model = observeModel(step.state);
        const code = observeWorld(world);
        if (JSON.stringify(model) !== JSON.stringify(code)) {
            difference = { step: index + 1, model, code };
            break;
        }
        before = step.state;
    }
    world.stop();
    return difference;
};
