import type { AttemptTask, Holder, JobState, Message, ModelAgent, ModelJob, ModelState, Told } from "./modelState.js";
import { hasEnded, holdsAccelerator } from "./modelState.js";

type Grant = Extract<Message, { readonly kind: "grant"; }>;

/** The conditions that the protocol's safety rests on; a broken rule replaces one of them. */
export interface Guards {
    /** Whether a write of this holder passes the check on the epoch row. */
    readonly passesEpochCheck: (state: ModelState, holder: Holder) => boolean;
    /** Whether an agent takes an order of this epoch. */
    readonly acceptsEpoch: (agent: ModelAgent, epoch: number) => boolean;
    readonly hasCapacity: (agent: ModelAgent, accelerators: number) => boolean;
    readonly mayStart: (agent: ModelAgent, id: string) => boolean;
    /** Whether another attempt is allowed after one that did not end as `neverStarted` everywhere. */
    readonly mayRunAgain: (job: ModelJob) => boolean;
    /** Whether the answer `neverStarted` of an instance is a proof. */
    readonly provesNeverStarted: (task: AttemptTask, member: number, instance: number) => boolean;
    /** Whether a cancellation may write to a row that it has read earlier. */
    readonly mayCancel: (job: JobState) => boolean;
    /** What the caller hears when a job is cancelled while its row says `queued`. */
    readonly toldForQueued: (job: JobState, spec: ModelJob) => Told;
    /** Whether a holder may write the outcome of its attempt to this row. */
    readonly mayConclude: (job: JobState, task: AttemptTask) => boolean;
    /** Lease that an agent takes from a grant. */
    readonly leaseOf: (grant: Grant) => number;
    readonly mayAnswerAccepted: (state: ModelState) => boolean;
    readonly acceptsConfig: (agent: ModelAgent, version: number) => boolean;
    readonly stopsAtLapse: boolean;
}

/** The protocol as specified. */
export const GUARDS: Guards = {
    passesEpochCheck: ({ store }, { epoch }) => store.epoch === epoch,
    acceptsEpoch: (agent, epoch) => epoch >= agent.epoch,
    hasCapacity: ({ tasks }, accelerators) => tasks.filter(holdsAccelerator).length < accelerators,
    mayStart: ({ tasks, lease }, id) => lease > 0 && tasks.some(task => task.id === id && task.state === "reserved"),
    mayRunAgain: ({ idempotent }) => idempotent,
    // An agent that restarted has forgotten what it ran, so only the instance that reserved can tell.
    provesNeverStarted: ({ instances }, member, instance) => instances[member] === instance,
    mayCancel: job => !hasEnded(job),
    // An idempotent job may run under a claim that is not in its row yet.
    toldForQueued: ({ attempts }, { idempotent }) => attempts === 0 && !idempotent ? "no" : "unknown",
    mayConclude: (job, { id, deferred }) => !hasEnded(job) && (job.attempt === id || deferred),
    leaseOf: ({ left }) => left,
    mayAnswerAccepted: ({ store }) => store.isUp,
    acceptsConfig: (agent, version) => version > agent.config,
    stopsAtLapse: true,
};
