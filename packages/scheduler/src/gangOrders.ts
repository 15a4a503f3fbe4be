import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { ParamsOf } from "@persimmonpitch/protocol/method.js";
import type { OrderMethods } from "@persimmonpitch/protocol/taskMessages.js";
import type { Attempt } from "@persimmonpitch/schema/job.js";
import type { BookedJob } from "./jobBook.js";
import type { RoleContext } from "./roleContext.js";

/** Time for which an unused reservation is held; it outlasts the claim's write. */
const RESERVATION_MS: Millis = 10_000;
const ORDER_TIMEOUT_MS: Millis = 5_000;

const order = <Name extends keyof OrderMethods>(
    context: RoleContext,
    vmId: string,
    name: Name,
    params: ParamsOf<OrderMethods[Name]>,
    timeoutMs: Millis = ORDER_TIMEOUT_MS,
) => context.gateway.order(vmId, name, params, timeoutMs);

/** Reserves all members in parallel; true when every agent holds its part. */
export const reserveAll = async (context: RoleContext, job: BookedJob, attempt: Attempt): Promise<boolean> => {
    const { jobId, spec } = job.stored.record;
    const answers = await Promise.all(attempt.members.map(async ({ vmId, accelerators }) => {
        const answer = await order(context, vmId, "task.reserve", {
            epoch: context.role.epoch,
            attemptId: attempt.attemptId,
            jobId,
            accelerators,
            cores: spec.gang.coresPerVm,
            memoryMb: spec.gang.memoryMbPerVm,
            spansVms: attempt.members.length > 1,
            timeToLiveMs: RESERVATION_MS,
        });
        if (answer.isErr || answer.value.kind === "refused") {
            const reason = answer.isErr
                ? answer.error.kind
                : answer.value.kind === "refused"
                ? answer.value.reason
                : "";
            context.logger.log("info", "reservation.refused", { job: jobId, vm: vmId, reason });
            return false;
        }
        return true;
    }));
    return answers.every(isReserved => isReserved);
};

/** Starts all members; true when every agent confirmed its start. */
export const startAll = async (context: RoleContext, job: BookedJob, attempt: Attempt): Promise<boolean> => {
    if (!context.role.mayAct()) {
        return false;
    }
    const { spec, checkpoint } = job.stored.record;
    const resume = checkpoint === undefined ? {} : { checkpoint };
    const answers = await Promise.all(attempt.members.map(async ({ vmId }) => {
        const answer = await order(context, vmId, "task.start", {
            epoch: context.role.epoch,
            attemptId: attempt.attemptId,
            payload: spec.payload,
            ...resume,
        });
        return answer.isOk && answer.value.kind === "started";
    }));
    return answers.every(isStarted => isStarted);
};

/** Stops or revokes all members; returns the VMs on which the attempt never started and never will. */
export const stopAll = async (
    context: RoleContext,
    attempt: Attempt,
    checkpoint: boolean,
    graceMs: Millis,
): Promise<ReadonlySet<string>> => {
    const { epoch } = context.role;
    const { attemptId, members } = attempt;
    const timeoutMs = graceMs + ORDER_TIMEOUT_MS;
    const answers = await Promise.all(members.map(async ({ vmId }) => {
        const answer = await order(context, vmId, "task.stop", { epoch, attemptId, checkpoint, graceMs }, timeoutMs);
        return answer.isOk && answer.value.kind === "neverStarted" ? vmId : undefined;
    }));
    return new Set(answers.filter(vmId => vmId !== undefined));
};

/** Lets the agents drop the attempt, whose outcome is durable. */
export const forgetAll = async (context: RoleContext, { members, attemptId }: Attempt): Promise<void> => {
    const { epoch } = context.role;
    await Promise.all(
        members.map(({ vmId }) => order(context, vmId, "task.forget", { epoch, attemptIds: [attemptId] })),
    );
};

/** Time that a stopped task gets for its checkpoint. */
export const graceOf = (context: RoleContext): Millis => context.configuration()?.body.rules.preemptionGraceMs ?? 0;
