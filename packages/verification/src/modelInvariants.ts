import type { ModelState } from "./modelState.js";
import { hasEnded, holdsAccelerator } from "./modelState.js";
import { partialEnds } from "./partialEnds.js";
import type { Model } from "./rule.js";
import type { Step } from "./specification.js";

/** Whether a step from `before` keeps the invariant; the state before it kept all of them. */
export type ModelInvariant = (before: ModelState, step: Step, model: Model) => boolean;

/** What must hold in each state and over each step of the model. */
export const MODEL_INVARIANTS = {
    /** An agent never holds more accelerators for attempts than it has. */
    acceleratorHeldOnce: (_, { state }, { bounds }) =>
        state.agents.every(({ tasks }) => tasks.filter(holdsAccelerator).length <= bounds.accelerators),
    /** A part of a gang stops or the rest starts, without the help of a repair or another fault. */
    partialGangEnds: (_, { state }, model) => partialEnds(state, model),
    /** When a holder has written the end of an attempt, no member of it runs under a valid lease. */
    concludedIsStopped: (before, { rule, state }, { bounds }) =>
        rule !== "conclude" || before.holders.every((holder, index) =>
            holder.tasks.every(({ id, job, members }) => {
                const isConcluded = state.holders[index]?.tasks.every(task => task.id !== id) === true;
                const isExclusive = bounds.jobs[job]?.idempotent === false && members.length > 1;
                const runs = state.agents.some(({ tasks, lease }) =>
                    lease > 0 && tasks.some(task => task.id === id && task.state === "running")
                );
                return !isConcluded || !isExclusive || before.store.epoch !== holder.epoch || !runs;
            })
        ),
    /** At most one attempt of a non-idempotent job ever starts. */
    startedAtMostOnce: (_, { state }, { bounds }) =>
        state.jobs.every(({ started }, job) => bounds.jobs[job]?.idempotent !== false || started.length <= 1),
    /** A caller who is told "not run" is told the truth. */
    notRunNeverStarted: (_, { state }) => state.jobs.every(({ ran, started }) => ran !== "no" || started.length === 0),
    /** Exactly one of the ends of a job wins; an ended row never changes. */
    oneEndWins: (before, { state }) =>
        before.jobs.every((job, index) => !hasEnded(job) || state.jobs[index]?.version === job.version),
    /** An order or a grant below the highest epoch that an agent has seen takes no effect there. */
    staleOrderIgnored: (before, { rule, state }) =>
        (rule !== "deliver" && rule !== "repeat")
        || before.agents.every((agent, index) => agent.epoch <= (state.agents[index]?.epoch ?? 0)),
    /** A job whose caller was told that it is accepted has a row. */
    acceptedIsKept: (_, { state }) => state.jobs.every(({ accepted, status }) => !accepted || status !== "absent"),
    /** The configuration of a process never falls. */
    configNeverFalls: (before, { state }) =>
        before.agents.every((agent, index) => {
            const after = state.agents[index];
            return after === undefined || after.instance !== agent.instance || after.config >= agent.config;
        }),
} satisfies Readonly<Record<string, ModelInvariant>>;
export type InvariantName = keyof typeof MODEL_INVARIANTS;
const NAMES = Object.keys(MODEL_INVARIANTS) as readonly InvariantName[];

/** The first invariant that a step violates. */
export const violatedBy = (before: ModelState, step: Step, model: Model): InvariantName | undefined =>
    NAMES.find(name => !(MODEL_INVARIANTS[name] as ModelInvariant)(before, step, model));
