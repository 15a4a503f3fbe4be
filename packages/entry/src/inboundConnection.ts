import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { AgentIdentity, ExecutorLimits } from "@persimmonpitch/protocol/agentMessages.js";
import { agentToEntryMethods, entryToAgentMethods, PROTOCOL_VERSION } from "@persimmonpitch/protocol/agentMessages.js";
import { Connection } from "@persimmonpitch/protocol/connection.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import { peerMethods } from "@persimmonpitch/protocol/peerMessages.js";
import type { Configuration } from "@persimmonpitch/schema/configuration.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import type { AgentConnection } from "./agentRegistry.js";
import type { InboundConnectionContext } from "./inboundConnectionContext.js";
import { writeOrphanedRecords } from "./orphanedRecords.js";
import { createPeerHandlers } from "./peerHandlers.js";

/** Workers report changes immediately, so their heartbeat only renews the lease. */
const WORKER_HEARTBEAT_INTERVAL_MS: Millis = 5_000;

/** Executors report their load with each heartbeat, so their interval is shorter than that of workers. */
const EXECUTOR_HEARTBEAT_INTERVAL_MS: Millis = 1_000;

/** Time without messages after which a connection is closed; the lease of its agent has expired by then. */
const SILENCE_TIMEOUT_MS: Millis = 15_000;
const RECORDED_CALL_TIMEOUT_MS: Millis = 15_000;

const executorLimits = (configuration: Configuration | undefined): ExecutorLimits => ({
    slots: configuration?.body.rules.slotsPerExecutor ?? 8,
    connections: configuration?.body.rules.connectionsPerExecutor ?? 64,
});

/** Serves one inbound connection of an agent or another entry, from the handshake until the connection ends. */
export const serveInboundConnection = async (
    context: InboundConnectionContext,
    link: Link,
    peerName: string,
): Promise<void> => {
    const { clock, logger, registry } = context;
    let agent: AgentIdentity | undefined;
    let lastMessageAt = clock.now();
    const recordMessage = () => {
        lastMessageAt = clock.now();
    };
    const connection: AgentConnection = new Connection({
        link,
        clock,
        local: { ...agentToEntryMethods, ...peerMethods },
        remote: entryToAgentMethods,
        handlers: {
            ...createPeerHandlers(context, peerName, recordMessage),
            "agent.hello": ({ identity, protocolVersion }) => {
                recordMessage();
                if (identity.vmId !== peerName || protocolVersion !== PROTOCOL_VERSION) {
                    connection.close();
                    return Promise.reject(new Error("The identity or the protocol version does not match."));
                }
                agent = identity;
                registry.addConnection(identity, connection);
                logger.log("info", "agent.connected", { vm: identity.vmId, instance: identity.instanceId });
                return Promise.resolve({
                    entryId: context.entryId,
                    entryInstanceId: context.entryInstanceId,
                    heartbeatMs: identity.kind === "worker"
                        ? WORKER_HEARTBEAT_INTERVAL_MS
                        : EXECUTOR_HEARTBEAT_INTERVAL_MS,
                    limits: executorLimits(context.configStore.configuration),
                    grant: context.leaseGranter.grant(context.configStore.version),
                });
            },
            "agent.report": report => {
                recordMessage();
                if (agent === undefined) {
                    // Records from a process that has not identified itself must not reach a team's history.
                    return Promise.reject(new Error("The agent has not said hello."));
                }
                registry.recordReport(peerName, connection, report);
                if (report.orphanedRecords.length > 0) {
                    void writeAndConfirmOrphanedRecords(context, connection, report.orphanedRecords);
                }
                const grant = context.leaseGranter.grant(context.configStore.version);
                // The answer carries the current limits if the agent missed the push of the configuration.
                const isOutdated = report.configVersion < context.configStore.version;
                return Promise.resolve(
                    isOutdated ? { ...grant, limits: executorLimits(context.configStore.configuration) } : grant,
                );
            },
        },
        onMalformed: detail => {
            logger.log("warn", "message.malformed", { from: peerName, detail });
        },
    });
    const connectionEnded = new AbortController();
    void closeAfterSilence(clock, connection, () => lastMessageAt, connectionEnded.signal);
    await connection.run();
    connectionEnded.abort();
    if (agent !== undefined) {
        registry.removeConnection(agent.vmId, connection);
        logger.log("info", "agent.disconnected", { vm: agent.vmId });
    }
};

/** Writes orphaned records to the history and tells the agent which of its copies it can drop. */
const writeAndConfirmOrphanedRecords = async (
    { table, logger }: InboundConnectionContext,
    connection: AgentConnection,
    records: readonly HistoryRecord[],
): Promise<void> => {
    const requestIds = await writeOrphanedRecords(table, logger, records);
    if (requestIds.length > 0) {
        await connection.call("request.recorded", { requestIds: [...requestIds] }, RECORDED_CALL_TIMEOUT_MS);
    }
};

/** Closes the connection once no message has arrived for `SILENCE_TIMEOUT_MS`. */
const closeAfterSilence = async (
    clock: Clock,
    connection: AgentConnection,
    getLastMessageAt: () => Millis,
    signal: AbortSignal,
): Promise<void> => {
    while (!signal.aborted) {
        const remainingMs = getLastMessageAt() + SILENCE_TIMEOUT_MS - clock.now();
        if (remainingMs <= 0) {
            connection.close();
            return;
        }
        await clock.sleep(remainingMs, signal);
    }
};
