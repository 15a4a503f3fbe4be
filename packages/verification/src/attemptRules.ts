import { changeTask, forEachTask, ordersFor, UNENDED } from "./attemptTasks.js";
import type { AttemptTask, Holder, JobState, MemberEnd, ModelState } from "./modelState.js";
import { hasEnded, RESERVATION_TICKS } from "./modelState.js";
import type { Model, Rule, Successor } from "./rule.js";
import { changeHolder, changeJob, forEachOf, send, spendFault } from "./rule.js";

/** All ways to choose `size` of the agents. */
const choose = (agents: readonly number[], size: number): readonly (readonly number[])[] => {
    const [first, ...rest] = agents;
    if (size === 0) {
        return [[]];
    }
    return first === undefined
        ? []
        : [...choose(rest, size - 1).map(chosen => [first, ...chosen]), ...choose(rest, size)];
};

/** Reservations of a waiting job on every choice of fenced agents. */
const place = (
    state: ModelState,
    holder: Holder,
    index: number,
    job: number,
    { bounds }: Model,
): readonly Successor[] => {
    const row = state.jobs[job];
    const spec = bounds.jobs[job];
    const isWaiting = row !== undefined && !hasEnded(row) && row.status !== "absent" && !row.cancelRequested;
    const isTaken = holder.tasks.some(task => task.job === job);
    if (spec === undefined || !isWaiting || isTaken || row.tries >= bounds.maxTries) {
        return [];
    }
    const id = `${job}.${row.tries + 1}`;
    const fenced = holder.fenced.flatMap((instance, agent) => instance > 0 ? [agent] : []);
    return choose(fenced, spec.members).map(members => {
        const task: AttemptTask = {
            job,
            id,
            members,
            instances: members.map(() => 0),
            phase: "reserving",
            ticksLeft: RESERVATION_TICKS,
            ends: members.map(() => UNENDED),
            version: row.version,
            deferred: false,
        };
        const tasks = [...holder.tasks, task].sort((a, b) => a.id < b.id ? -1 : 1);
        const next = changeHolder(changeJob(state, job, { tries: row.tries + 1 }), index, { tasks });
        return {
            subject: { attempt: id, agents: members, holder: index },
            state: send(next, ordersFor(task, holder.epoch, "reserve")),
        };
    });
};

const isReserved = ({ phase, instances, ticksLeft }: AttemptTask): boolean =>
    phase === "reserving" && ticksLeft > 0 && instances.every(instance => instance > 0);

const writeClaim = (state: ModelState, { job, id, members }: AttemptTask): ModelState => {
    const row = state.jobs[job];
    return row === undefined ? state : changeJob(state, job, {
        status: "running",
        attempt: id,
        members,
        attempts: row.attempts + 1,
        version: row.version + 1,
    });
};

const passesClaimChecks = (state: ModelState, holder: Holder, task: AttemptTask, { guards }: Model): boolean =>
    state.jobs[task.job]?.version === task.version && guards.passesEpochCheck(state, holder);

const start = (state: ModelState, { epoch }: Holder, index: number, task: AttemptTask, deferred: boolean): ModelState =>
    send(changeTask(state, index, task, { phase: "started", deferred }), ordersFor(task, epoch, "start"));

const release = (state: ModelState, { epoch }: Holder, index: number, task: AttemptTask): ModelState =>
    send(changeTask(state, index, task, undefined), ordersFor(task, epoch, "stop"));

/** How the members have ended; one whose agent has not been heard of for a whole lease is lost. */
const endsOf = ({ members, ends }: AttemptTask, { contact }: Holder): readonly MemberEnd[] =>
    members.map((agent, member) => ends[member] === UNENDED && contact[agent] === 0 ? "lost" : ends[member] ?? UNENDED);

/** What the row becomes after an attempt whose members have all ended. */
const conclusionOf = (job: JobState, task: AttemptTask, model: Model): Partial<JobState> => {
    const ends = new Set(task.ends);
    const spec = model.bounds.jobs[task.job];
    const hasFinished = ends.size === 1 && ends.has("finished");
    const neverStarted = ends.size === 1 && ends.has("neverStarted");
    const version = job.version + 1;
    const attempts = task.deferred ? job.attempts + 1 : job.attempts;
    if (hasFinished) {
        return { status: "finished", ran: "yes", version, attempts };
    }
    if (job.cancelRequested) {
        // An earlier attempt may have run; one that never started does not count.
        return { status: "cancelled", ran: neverStarted && attempts <= 1 ? "no" : "unknown", version, attempts };
    }
    if (neverStarted) {
        return { status: "queued", attempt: "", members: [], version, attempts: attempts - 1 };
    }
    return spec !== undefined && model.guards.mayRunAgain(spec)
        ? { status: "queued", attempt: "", members: [], version, attempts }
        : { status: "failed", ran: "unknown", version, attempts };
};

/** What the holder does for one attempt of a job, from its reservations to its end. */
export const ATTEMPT_RULES = {
    reserve: (state, model) =>
        state.holders.flatMap((holder, index) =>
            state.jobs.flatMap((_, job) => place(state, holder, index, job, model))
        ),
    // The starts are sent with the claim: a holder that crashes in between is one whose starts are never delivered.
    claim: (state, model) =>
        forEachTask(state, (task, holder, index) => {
            if (!isReserved(task) || !state.store.isUp) {
                return undefined;
            }
            return passesClaimChecks(state, holder, task, model)
                ? start(writeClaim(state, task), holder, index, task, false)
                : release(state, holder, index, task);
        }),
    claimAnswerLost: (state, model) =>
        forEachTask(state, (task, holder, index) => {
            const next = isReserved(task) && state.store.isUp && passesClaimChecks(state, holder, task, model)
                ? spendFault(state)
                : undefined;
            return next === undefined
                ? undefined
                : changeTask(writeClaim(next, task), index, task, { phase: "unclear" });
        }),
    // Without a read that shows the claim nothing starts.
    settleClaim: state =>
        forEachTask(state, (task, holder, index) => {
            if (task.phase !== "unclear") {
                return undefined;
            }
            return state.store.isUp && state.jobs[task.job]?.attempt === task.id
                ? start(state, holder, index, task, false)
                : release(state, holder, index, task);
        }),
    deferClaim: (state, { bounds, guards }) =>
        forEachTask(
            state,
            (task, holder, index) =>
                guards.mayStartWithoutClaim && isReserved(task) && !state.store.isUp
                    && bounds.jobs[task.job]?.idempotent === true
                    ? start(state, holder, index, task, true)
                    : undefined,
        ),
    // Covers a refused reservation and one that is not answered in time.
    release: state =>
        forEachTask(
            state,
            (task, holder, index) => task.phase === "reserving" ? release(state, holder, index, task) : undefined,
        ),
    // Covers a cancellation, a preemption, a start that was not answered and a member that was lost.
    stop: state =>
        forEachTask(state, (task, { epoch }, index) =>
            task.phase === "started"
                ? send(changeTask(state, index, task, { phase: "stopping" }), ordersFor(task, epoch, "stop"))
                : undefined),
    conclude: (state, model) =>
        forEachTask(state, (task, holder, index) => {
            const job = state.jobs[task.job];
            const ends = endsOf(task, holder);
            const isFollowed = task.phase === "started" || task.phase === "stopping";
            if (!isFollowed || ends.includes(UNENDED) || job === undefined || !state.store.isUp) {
                return undefined;
            }
            const isOwn = model.guards.passesEpochCheck(state, holder) && model.guards.mayConclude(job, task);
            const next = isOwn ? changeJob(state, task.job, conclusionOf(job, { ...task, ends }, model)) : state;
            return changeTask(next, index, task, undefined);
        }),
    // A claim whose answer was lost may have taken effect without a start; its cancellation still needs an end.
    concludeUnstarted: state =>
        state.holders.flatMap(({ epoch, tasks }, index) =>
            forEachOf(
                state.jobs,
                (_, job) => ({ job, holder: index }),
                (job, at) =>
                    state.store.isUp && epoch === state.store.epoch && job.cancelRequested && !hasEnded(job)
                        && tasks.every(task => task.job !== at)
                        ? changeJob(state, at, { status: "cancelled", ran: "unknown", version: job.version + 1 })
                        : undefined,
            )
        ),
} satisfies Readonly<Record<string, Rule>>;
