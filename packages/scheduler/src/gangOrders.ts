import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { ParamsOf } from "@persimmonpitch/protocol/method.js";
import type { OrderMethods } from "@persimmonpitch/protocol/taskMessages.js";
import type { Attempt } from "@persimmonpitch/schema/job.js";
import type { ActiveJob } from "./activeJobs.js";
import type { RoleContext } from "./roleContext.js";

/** Time after which an agent drops an unused reservation; long enough to write the claim. */
const RESERVATION_TTL_MS: Millis = 10_000;
const ORDER_TIMEOUT_MS: Millis = 5_000;

const sendOrder = <Name extends keyof OrderMethods>(
    context: RoleContext,
    vmId: string,
    name: Name,
    params: ParamsOf<OrderMethods[Name]>,
    timeoutMs: Millis = ORDER_TIMEOUT_MS,
) => context.gateway.sendOrder(vmId, name, params, timeoutMs);

/** Instance ids of the agents that hold reservations, by VM id. */
export type ReservingInstances = ReadonlyMap<string, string>;

/** Reserves resources for all members in parallel; `isComplete` tells whether every agent made its reservation. */
export const reserveMembers = async (
    context: RoleContext,
    job: ActiveJob,
    attempt: Attempt,
): Promise<{ readonly isComplete: boolean; readonly instances: ReservingInstances; }> => {
    const { jobId, spec } = job.stored.record;
    const instances = new Map<string, string>();
    await Promise.all(attempt.members.map(async ({ vmId, accelerators }) => {
        const answer = await sendOrder(context, vmId, "task.reserve", {
            epoch: context.role.epoch,
            attemptId: attempt.attemptId,
            jobId,
            accelerators,
            cores: spec.gang.coresPerVm,
            memoryMb: spec.gang.memoryMbPerVm,
            spansVms: attempt.members.length > 1,
            timeToLiveMs: RESERVATION_TTL_MS,
        });
        if (answer.isOk && answer.value.kind === "reserved") {
            instances.set(vmId, answer.value.instanceId);
            return;
        }
        const reason = answer.isErr ? answer.error.kind : answer.value.kind === "refused" ? answer.value.reason : "";
        context.logger.log("info", "reservation.refused", { job: jobId, vm: vmId, reason });
    }));
    return { isComplete: instances.size === attempt.members.length, instances };
};

/** Starts all members in parallel; returns whether every agent confirmed the start. */
export const startMembers = async (context: RoleContext, job: ActiveJob, attempt: Attempt): Promise<boolean> => {
    if (!context.role.mayAct()) {
        return false;
    }
    const { spec, checkpoint } = job.stored.record;
    const resume = checkpoint === undefined ? {} : { checkpoint };
    const answers = await Promise.all(attempt.members.map(async ({ vmId }) => {
        const answer = await sendOrder(context, vmId, "task.start", {
            epoch: context.role.epoch,
            attemptId: attempt.attemptId,
            payload: spec.payload,
            ...resume,
        });
        return answer.isOk && answer.value.kind === "started";
    }));
    return answers.every(isStarted => isStarted);
};

/**
 * Stops all members, or revokes their reservations. Returns the VMs on which the attempt has not started and never
 * will, as confirmed by the agent instance that made the reservation. A lost order needs no handling here: the
 * reservation expires, or the stop is repeated.
 */
export const stopMembers = async (
    context: RoleContext,
    attempt: Attempt,
    checkpoint: boolean,
    graceMs: Millis,
    instances: ReservingInstances = new Map(),
): Promise<ReadonlySet<string>> => {
    const { epoch } = context.role;
    const { attemptId, members } = attempt;
    const timeoutMs = graceMs + ORDER_TIMEOUT_MS;
    const answers = await Promise.all(members.map(async ({ vmId }) => {
        const answer = await sendOrder(
            context,
            vmId,
            "task.stop",
            { epoch, attemptId, checkpoint, graceMs },
            timeoutMs,
        );
        // An agent that replaced the one with the reservation does not know what the VM ran before.
        const isConfirmed = answer.isOk && answer.value.kind === "neverStarted"
            && answer.value.instanceId === instances.get(vmId);
        return isConfirmed ? vmId : undefined;
    }));
    return new Set(answers.filter(vmId => vmId !== undefined));
};

/** Lets the agents discard the attempt once its outcome is recorded. */
export const forgetAttempt = async (context: RoleContext, { members, attemptId }: Attempt): Promise<void> => {
    const { epoch } = context.role;
    await Promise.all(
        members.map(({ vmId }) => sendOrder(context, vmId, "task.forget", { epoch, attemptIds: [attemptId] })),
    );
};

/** Time that a task has to write a checkpoint after a stop order. */
export const checkpointGraceMs = (context: RoleContext): Millis =>
    context.configuration()?.body.rules.preemptionGraceMs ?? 0;
