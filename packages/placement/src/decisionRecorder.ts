import type { MessageData } from "@persimmonpitch/findings/messageTable.js";
import { formatMessage } from "@persimmonpitch/findings/messageTable.js";
import type { VmState } from "./clusterState.js";
import type { QueuedJob } from "./clusterView.js";
import type {
    PreemptDecision,
    RefuseDecision,
    StartDecision,
    WaitExplanation,
    WaitReason,
} from "./placementDecisions.js";
import { PLACEMENT_MESSAGES } from "./placementMessages.js";

/** Collects the decisions of a pass. */
export class DecisionRecorder {
    readonly starts: StartDecision[] = [];
    readonly preemptions: PreemptDecision[] = [];
    readonly refusals: RefuseDecision[] = [];
    readonly #waiting = new Map<string, WaitExplanation>();
    /** Formatted messages. Many jobs wait for the same reason, and formatting costs more than a lookup. */
    readonly #formattedDetails = new Map<string, string>();

    start({ jobId, spec: { gang } }: QueuedJob, vms: readonly VmState[]): void {
        const members = vms.map(({ vm }) => ({ vmId: vm.vmId, accelerators: gang.acceleratorsPerVm }));
        this.starts.push({ jobId, members });
        this.#waiting.delete(jobId);
    }

    preempt(jobId: string, forJobId: string): void {
        this.preemptions.push({ jobId, forJobId });
    }

    refuse(
        { jobId }: QueuedJob,
        reason: WaitReason,
        messageId: keyof typeof PLACEMENT_MESSAGES,
        data: MessageData,
    ): void {
        this.refusals.push({ jobId, reason, detail: formatMessage(PLACEMENT_MESSAGES[messageId], data) });
    }

    wait(
        { jobId }: QueuedJob,
        reason: WaitReason,
        messageId: keyof typeof PLACEMENT_MESSAGES,
        data: MessageData = {},
    ): void {
        const key = `${messageId} ${Object.values(data).join(" ")}`;
        const detail = this.#formattedDetails.get(key) ?? formatMessage(PLACEMENT_MESSAGES[messageId], data);
        this.#formattedDetails.set(key, detail);
        this.#waiting.set(jobId, { jobId, reason, detail });
    }

    isWaiting(jobId: string): boolean {
        return this.#waiting.has(jobId);
    }

    waiting(): readonly WaitExplanation[] {
        return [...this.#waiting.values()];
    }
}
