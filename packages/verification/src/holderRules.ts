import type {
    AttemptTask,
    Holder,
    JobState,
    MemberEnd,
    Message,
    ModelState,
    OrderKind,
    Outcome,
} from "./modelState.js";
import { CONTACT_TICKS, hasEnded, holdsAccelerator, jobOf, LEASE_TICKS, observer } from "./modelState.js";
import type { Model, Rule, Successor } from "./rule.js";
import { changeHolder, changeJob, forEachOf, replaceAt, send, spendFault } from "./rule.js";

const UNENDED: MemberEnd = "";

/** Replaces a task of a holder, or removes it. */
const changeTask = (
    state: ModelState,
    holder: number,
    task: AttemptTask,
    change: Partial<AttemptTask> | undefined,
): ModelState => {
    const tasks = state.holders[holder]?.tasks ?? [];
    return changeHolder(state, holder, {
        tasks: change === undefined
            ? tasks.filter(({ id }) => id !== task.id)
            : tasks.map(old => old.id === task.id ? { ...old, ...change } : old),
    });
};

/** One successor for each attempt of each holder for which `change` gives a state. */
const forEachTask = (
    state: ModelState,
    change: (task: AttemptTask, holder: Holder, index: number) => ModelState | undefined,
): readonly Successor[] =>
    state.holders.flatMap((holder, index) =>
        forEachOf(
            holder.tasks,
            ({ id }) => `attempt ${id} by holder ${index}`,
            task => change(task, holder, index),
        )
    );

const ordersFor = ({ members, id }: AttemptTask, epoch: number, kind: "reserve" | "start" | "stop") =>
    members.map((agent): Message => ({ kind, agent, epoch, id }));

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

/** The attempt that a new holder finds in a row. */
const adopt = (job: JobState, index: number): readonly AttemptTask[] =>
    job.status === "running"
        ? [{
            job: index,
            id: job.attempt,
            members: job.members,
            instances: job.members.map(() => 0),
            phase: "started",
            ends: job.members.map(() => UNENDED),
            version: job.version,
            deferred: false,
        }]
        : [];

const place = (state: ModelState, holder: Holder, index: number, job: number, { bounds }: Model) => {
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
            ends: members.map(() => UNENDED),
            version: row.version,
            deferred: false,
        };
        const tasks = [...holder.tasks, task].sort((a, b) => a.id < b.id ? -1 : 1);
        const next = changeHolder(changeJob(state, job, { tries: row.tries + 1 }), index, { tasks });
        return {
            what: `attempt ${id} at agents ${members.join(", ")} by holder ${index}`,
            state: send(next, ordersFor(task, holder.epoch, "reserve")),
        };
    });
};

const isReserved = ({ phase, instances }: AttemptTask): boolean =>
    phase === "reserving" && instances.every(instance => instance > 0);

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

const hasAllEnded = ({ ends }: AttemptTask): boolean => ends.every(end => end !== UNENDED);

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
        return { status: "cancelled", ran: neverStarted ? "no" : "unknown", version, attempts };
    }
    return neverStarted || (spec !== undefined && model.guards.mayRunAgain(spec))
        ? { status: "queued", attempt: "", members: [], version, attempts }
        : { status: "failed", ran: "unknown", version, attempts };
};

const END_OF_OUTCOME: Readonly<Partial<Record<Outcome, MemberEnd>>> = {
    stopped: "stopped",
    finished: "finished",
    neverStarted: "neverStarted",
};

type Order = Extract<Message, { readonly kind: OrderKind; }>;

/** Takes an agent's answer at the holder that sent the order, if it still holds that epoch. */
export const takeAnswer = (
    state: ModelState,
    { kind, agent, epoch, id }: Order,
    outcome: Outcome,
    instance: number,
    { guards }: Model,
): ModelState => {
    const index = state.holders.findIndex(holder => holder.epoch === epoch);
    const holder = state.holders[index];
    const task = holder?.tasks.find(candidate => candidate.id === id);
    if (holder !== undefined && kind === "fence") {
        return changeHolder(state, index, { fenced: replaceAt(holder.fenced, agent, instance) });
    }
    const member = task?.members.indexOf(agent) ?? -1;
    if (task?.phase === "reserving" && outcome === "reserved") {
        return changeTask(state, index, task, { instances: replaceAt(task.instances, member, instance) });
    }
    const told = END_OF_OUTCOME[outcome];
    if (task?.phase !== "stopping" || told === undefined || task.ends[member] !== UNENDED) {
        return state;
    }
    const end = told === "neverStarted" && !guards.provesNeverStarted(task, member, instance) ? "lost" : told;
    return changeTask(state, index, task, { ends: replaceAt(task.ends, member, end) });
};

const REPORTED: Readonly<Record<"reserved" | "running" | "stopped" | "finished", MemberEnd>> = {
    reserved: "",
    running: "",
    stopped: "stopped",
    finished: "finished",
};

/** Takes an agent's report; an attempt that it does not show has been lost there. */
const takeReport = (state: ModelState, index: number, agent: number): ModelState => {
    const holder = state.holders[index];
    const reporter = state.agents[agent];
    if (holder === undefined || reporter === undefined) {
        return state;
    }
    const tasks = holder.tasks.map(task => {
        const member = task.members.indexOf(agent);
        const isFollowed = task.phase === "started" || task.phase === "stopping";
        if (!isFollowed || task.ends[member] !== UNENDED) {
            return task;
        }
        const shown = reporter.tasks.find(({ id }) => id === task.id);
        const end = shown === undefined ? "lost" : REPORTED[shown.state];
        return { ...task, ends: replaceAt(task.ends, member, end) };
    });
    const fenced = replaceAt(
        holder.fenced,
        agent,
        holder.fenced[agent] === reporter.instance ? reporter.instance : 0,
    );
    return changeHolder(state, index, { tasks, fenced, contact: replaceAt(holder.contact, agent, CONTACT_TICKS) });
};

/** What the process that believes to hold the role does. */
export const HOLDER_RULES = {
    // An observer may take the role at any moment, which includes a holder that is paused past its term.
    takeRole: (state, { bounds }) =>
        forEachOf(state.holders, (_, index) => `holder ${index}`, (holder, index) => {
            const { store } = state;
            if (!store.isUp || holder.epoch > 0 || store.epoch >= bounds.maxEpoch) {
                return undefined;
            }
            const epoch = store.epoch + 1;
            const next = { ...state, store: { ...store, epoch, holder: index } };
            const contact = state.agents.map(() => CONTACT_TICKS);
            return changeHolder(next, index, { epoch, contact, tasks: state.jobs.flatMap(adopt) });
        }),
    loseRole: state =>
        forEachOf(
            state.holders,
            (_, index) => `holder ${index}`,
            ({ epoch }, index) =>
                state.store.isUp && epoch > 0 && state.store.epoch > epoch
                    ? changeHolder(state, index, observer(state.agents.length))
                    : undefined,
        ),
    releaseRole: state =>
        forEachOf(
            state.holders,
            (_, index) => `holder ${index}`,
            (_, index) =>
                state.store.isUp && state.store.holder === index && state.holders[index]?.epoch === state.store.epoch
                    ? changeHolder(
                        { ...state, store: { ...state.store, holder: -1 } },
                        index,
                        observer(state.agents.length),
                    )
                    : undefined,
        ),
    fence: state =>
        state.holders.flatMap(({ epoch, fenced }, index) =>
            forEachOf(
                fenced,
                (_, agent) => `agent ${agent} by holder ${index}`,
                (instance, agent) =>
                    epoch > 0 && instance === 0
                        ? send(state, [{ kind: "fence", agent, epoch, id: "" }])
                        : undefined,
            )
        ),
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
    deferClaim: (state, { bounds }) =>
        forEachTask(
            state,
            (task, holder, index) =>
                isReserved(task) && !state.store.isUp && bounds.jobs[task.job]?.idempotent === true
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
    stopUnknown: state =>
        state.holders.flatMap((holder, index) =>
            state.agents.flatMap(({ tasks, instance }, agent) =>
                forEachOf(tasks, ({ id }) => `attempt ${id} at agent ${agent} by holder ${index}`, task => {
                    const isUnknown = holder.tasks.every(({ job }) => job !== jobOf(task.id))
                        && holder.epoch > 0 && holder.fenced[agent] === instance && holdsAccelerator(task);
                    return isUnknown
                        ? send(state, [{ kind: "stop", agent, epoch: holder.epoch, id: task.id }])
                        : undefined;
                })
            )
        ),
    // A holder past its term grants nothing, because it checks its deadline first.
    report: state =>
        state.holders.flatMap(({ epoch }, index) =>
            forEachOf(state.agents, (_, agent) => `agent ${agent} to holder ${index}`, (reporter, agent) => {
                if (epoch === 0) {
                    return undefined;
                }
                const next = takeReport(state, index, agent);
                // A grant to an agent that has a full lease of this epoch changes nothing, now or later.
                const isOfUse = (reporter?.lease ?? 0) < LEASE_TICKS || (reporter?.epoch ?? 0) < epoch;
                return state.store.epoch === epoch && isOfUse
                    ? send(next, [{ kind: "grant", agent, epoch, left: LEASE_TICKS }])
                    : next;
            })
        ),
    judgeLost: state =>
        forEachTask(state, (task, { contact }, index) => {
            const ends = task.members.map((agent, member) =>
                task.ends[member] === UNENDED && contact[agent] === 0 ? "lost" : task.ends[member] ?? UNENDED
            );
            const isFollowed = task.phase === "started" || task.phase === "stopping";
            return isFollowed && ends.some((end, member) => end !== task.ends[member])
                ? changeTask(state, index, task, { ends })
                : undefined;
        }),
    conclude: (state, model) =>
        forEachTask(state, (task, holder, index) => {
            const job = state.jobs[task.job];
            if (!hasAllEnded(task) || job === undefined || !state.store.isUp) {
                return undefined;
            }
            const isOwn = model.guards.passesEpochCheck(state, holder) && model.guards.mayConclude(job, task);
            const next = isOwn ? changeJob(state, task.job, conclusionOf(job, task, model)) : state;
            return changeTask(next, index, task, undefined);
        }),
    // A claim whose answer was lost may have taken effect without a start; its cancellation still needs an end.
    concludeUnstarted: state =>
        state.holders.flatMap(({ epoch, tasks }, index) =>
            forEachOf(
                state.jobs,
                (_, job) => `job ${job} by holder ${index}`,
                (job, at) =>
                    state.store.isUp && epoch === state.store.epoch && job.cancelRequested && !hasEnded(job)
                        && tasks.every(task => task.job !== at)
                        ? changeJob(state, at, { status: "cancelled", ran: "unknown", version: job.version + 1 })
                        : undefined,
            )
        ),
} satisfies Readonly<Record<string, Rule>>;
