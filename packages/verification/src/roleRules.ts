import { UNENDED } from "./attemptTasks.js";
import { takeReport } from "./holderNews.js";
import type { AttemptTask, JobState } from "./modelState.js";
import { CONTACT_TICKS, holdsAccelerator, jobOf, LEASE_TICKS, observer } from "./modelState.js";
import type { Rule } from "./rule.js";
import { changeHolder, forEachOf, send } from "./rule.js";

/** The attempt that a new holder finds in a row. */
const adopt = (job: JobState, index: number): readonly AttemptTask[] =>
    job.status === "running"
        ? [{
            job: index,
            id: job.attempt,
            members: job.members,
            instances: job.members.map(() => 0),
            phase: "started",
            ticksLeft: 0,
            ends: job.members.map(() => UNENDED),
            version: job.version,
            deferred: false,
        }]
        : [];

/** How a process takes, keeps and loses the role, and deals with the agents. */
export const ROLE_RULES = {
    // An observer may take the role at any moment, which includes a holder that is paused past its term.
    takeRole: (state, { bounds }) =>
        forEachOf(state.holders, (_, index) => ({ holder: index }), (holder, index) => {
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
            (_, index) => ({ holder: index }),
            ({ epoch }, index) =>
                state.store.isUp && epoch > 0 && state.store.epoch > epoch
                    ? changeHolder(state, index, observer(state.agents.length))
                    : undefined,
        ),
    releaseRole: state =>
        forEachOf(
            state.holders,
            (_, index) => ({ holder: index }),
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
                (_, agent) => ({ agents: [agent], holder: index }),
                (instance, agent) =>
                    epoch > 0 && instance === 0
                        ? send(state, [{ kind: "fence", agent, epoch, id: "" }])
                        : undefined,
            )
        ),
    stopUnknown: state =>
        state.holders.flatMap((holder, index) =>
            state.agents.flatMap(({ tasks, instance }, agent) =>
                forEachOf(tasks, ({ id }) => ({ attempt: id, agents: [agent], holder: index }), task => {
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
        state.holders.flatMap((holder, index) =>
            forEachOf(state.agents, (_, agent) => ({ agents: [agent], holder: index }), ({ lease }, agent) => {
                const { epoch } = holder;
                // A grant to an agent with a full lease changes nothing, now or later.
                const isGranted = state.store.epoch === epoch && lease < LEASE_TICKS;
                const next = epoch === 0 ? state : takeReport(state, index, agent);
                return isGranted
                    ? send(next, [{ kind: "grant", agent, epoch, left: LEASE_TICKS }])
                    : JSON.stringify(next.holders[index]) === JSON.stringify(holder)
                    ? undefined
                    : next;
            })
        ),
} satisfies Readonly<Record<string, Rule>>;
