import { observer } from "./modelState.js";
import type { Rule } from "./rule.js";
import { changeAgent, changeHolder, changeJob, forEachOf, send, spendFault } from "./rule.js";

/** What callers and operators do, and the faults of the platform and of processes. */
export const STORE_RULES = {
    accept: (state, { guards }) =>
        forEachOf(state.jobs, (_, job) => `job ${job}`, (job, index) => {
            if (job.status !== "absent" || job.accepted || !guards.mayAnswerAccepted(state)) {
                return undefined;
            }
            const row = state.store.isUp ? { status: "queued" as const, version: 1 } : {};
            return changeJob(state, index, { ...row, accepted: true });
        }),
    cancel: (state, { guards, bounds }) =>
        forEachOf(state.jobs, (_, job) => `job ${job}`, (job, index) => {
            const spec = bounds.jobs[index];
            const isDone = job.status === "absent" || job.status === "cancelled" || job.cancelRequested;
            if (!state.store.isUp || spec === undefined || isDone || !guards.mayCancel(job)) {
                return undefined;
            }
            const version = job.version + 1;
            return job.status === "running"
                ? changeJob(state, index, { cancelRequested: true, version })
                : changeJob(state, index, { status: "cancelled", version, ran: guards.toldForQueued(job, spec) });
        }),
    loadConfig: (state, { bounds }) =>
        state.store.isUp && state.store.config < bounds.maxConfig
            ? [{ what: "", state: { ...state, store: { ...state.store, config: state.store.config + 1 } } }]
            : [],
    pushConfig: state =>
        forEachOf(state.agents, (_, agent) => `agent ${agent}`, (agent, index) =>
            agent.config < state.store.config
                && state.messages.every(sent =>
                    sent.kind !== "config" || sent.agent !== index || sent.version !== state.store.config
                )
                ? send(state, [{ kind: "config", agent: index, version: state.store.config }])
                : undefined),
    outage: state => {
        const next = state.store.isUp ? spendFault(state) : undefined;
        return next === undefined ? [] : [{ what: "", state: { ...next, store: { ...next.store, isUp: false } } }];
    },
    storeReturns: state =>
        state.store.isUp ? [] : [{ what: "", state: { ...state, store: { ...state.store, isUp: true } } }],
    crashHolder: state =>
        forEachOf(state.holders, (_, holder) => `holder ${holder}`, ({ epoch }, index) => {
            const next = epoch > 0 ? spendFault(state) : undefined;
            return next === undefined ? undefined : changeHolder(next, index, observer(state.agents.length));
        }),
    // Reservations, revoked attempts and the epoch are lost; a lapsed lease stops what the worker still runs.
    // Connections end with the process, so nothing in flight reaches the next instance.
    restartAgent: state =>
        forEachOf(state.agents, (_, agent) => `agent ${agent}`, ({ instance, tasks }, index) => {
            const next = tasks.length > 0 ? spendFault(state) : undefined;
            if (next === undefined) {
                return undefined;
            }
            const messages = next.messages.filter(({ agent }) => agent !== index);
            const fresh = { instance: instance + 1, epoch: 0, lease: 0, config: 0, tasks: [], revoked: [] };
            return changeAgent({ ...next, messages }, index, fresh);
        }),
} satisfies Readonly<Record<string, Rule>>;
