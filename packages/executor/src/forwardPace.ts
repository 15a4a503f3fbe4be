import type { ControllerToAgentMethods } from "@persimmonpitch/protocol/executorMessages.js";
import type { ParamsOf, ResultOf } from "@persimmonpitch/protocol/method.js";
import type { AgentContext } from "./agentContext.js";
import type { ExecutorFailure } from "./executorPort.js";

type PaceParams = ParamsOf<ControllerToAgentMethods["agent.pace"]>;
type PaceResult = ResultOf<ControllerToAgentMethods["agent.pace"]>;

const toPaceResult = (failure: ExecutorFailure): PaceResult =>
    failure.kind === "refused" ? { kind: "refused", reason: failure.reason } : { kind: "unclear" };

/** Forwards a pace change without retries: the controller resends its latest pace, which may differ by then. */
export const forwardPace = async (
    { controllerEpoch, port }: AgentContext,
    { epoch, executorId, task, run, percentage }: PaceParams,
): Promise<PaceResult> => {
    if (epoch !== controllerEpoch.current) {
        return { kind: "refused", reason: "fence" };
    }
    const response = await port.pace({ executorId, fencingToken: epoch, task, run, percentage });
    return response.isOk ? { kind: "paced", clockMs: response.value.clockMs } : toPaceResult(response.error);
};
