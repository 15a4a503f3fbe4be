import type { ResultOf } from "@persimmonpitch/protocol/method.js";
import type { PeerMethods } from "@persimmonpitch/protocol/peerMessages.js";
import type { SchedulingRole } from "@persimmonpitch/scheduler/schedulingRole.js";

/** The role holder's view of waiting jobs, unmet guarantees and VM conditions. */
export type SchedulingExplanation = ResultOf<PeerMethods["peer.explain"]>;

/** Returns the role holder's view for the operators' status report. */
export const explainScheduling = ({ role }: { readonly role: SchedulingRole; }): SchedulingExplanation => ({
    jobs: role.jobs.flatMap(({ stored, explanation }) =>
        explanation === undefined ? [] : [{ jobId: stored.record.jobId, ...explanation }]
    ),
    unmetGuarantees: role.unmetGuarantees.map(({ team, name, instance }) => ({ team, name, instance })),
    conditions: [...role.vmConditions].map(([vmId, condition]) => ({ vmId, condition })),
});
