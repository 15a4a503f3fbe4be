import type { HandlerTable } from "@persimmonpitch/protocol/method.js";
import type { PeerMethods } from "@persimmonpitch/protocol/peerMessages.js";
import type { OrderMethods } from "@persimmonpitch/protocol/taskMessages.js";
import { orderMethods } from "@persimmonpitch/protocol/taskMessages.js";
import type { InboundConnectionContext } from "./inboundConnectionContext.js";
import { explainScheduling } from "./schedulingExplanation.js";

const isOrderMethod = (method: string): method is keyof OrderMethods => Object.hasOwn(orderMethods, method);

/** Creates the handlers of the peer methods for one inbound connection. */
export const createPeerHandlers = (
    context: InboundConnectionContext,
    peerName: string,
    recordMessage: () => void,
): HandlerTable<PeerMethods> => {
    const requirePeer = (): void => {
        // Agents authenticate on the same port, but must not be able to act as an entry.
        if (!context.peerIds.has(peerName)) {
            throw new Error("Only entries of the region may call this method.");
        }
        recordMessage();
    };
    return {
        "peer.hello": () => {
            requirePeer();
            return Promise.resolve({ entryId: context.entryId, region: context.region });
        },
        "peer.report": async ({ isHolder, agents, configVersion, jobIds }) => {
            requirePeer();
            if (isHolder && context.leaseGranter.holderPeerId !== peerName) {
                context.onNewHolder();
            }
            context.registry.recordPeerHeartbeat(peerName);
            agents.forEach(update => {
                context.registry.recordPeerUpdate(peerName, update);
            });
            if (jobIds.length > 0) {
                context.role.notifyJobChange(jobIds);
            }
            if (configVersion > context.configStore.version) {
                await context.configStore.refresh();
            }
            const { epoch } = context.role;
            const { grantMs, epoch: knownEpoch } = context.leaseGranter.grant(context.configStore.version);
            return {
                isHolder: epoch !== undefined,
                epoch: epoch ?? knownEpoch,
                grantMs: epoch === undefined ? 0 : grantMs,
                configVersion: context.configStore.version,
                fullTeams: [...context.role.teamsAtQueueLimit(context.configStore.configuration)],
            };
        },
        "peer.order": async ({ vmId, instanceId, method, params, timeoutMs }) => {
            requirePeer();
            const agent = context.registry.localConnections().find(({ identity }) => identity.vmId === vmId);
            if (agent?.identity.instanceId !== instanceId || !isOrderMethod(method)) {
                return { kind: "notSent", detail: `The agent of ${vmId} is not connected here.` };
            }
            const parsed = orderMethods[method].params.safeParse(params);
            if (!parsed.success) {
                return { kind: "notSent", detail: `Parameters of ${method} do not match their schema.` };
            }
            const answer = await agent.connection.call(method, parsed.data, timeoutMs);
            return answer.isOk ? { kind: "answered", result: answer.value } : answer.error;
        },
        "peer.explain": () => {
            requirePeer();
            return Promise.resolve(explainScheduling(context));
        },
    };
};
