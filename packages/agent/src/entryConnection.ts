import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type {
    AgentIdentity,
    AgentReport,
    AgentToEntryMethods,
    EntryToAgentMethods,
    ReportAnswer,
} from "@persimmonpitch/protocol/agentMessages.js";
import { agentToEntryMethods, entryToAgentMethods, PROTOCOL_VERSION } from "@persimmonpitch/protocol/agentMessages.js";
import { Connection } from "@persimmonpitch/protocol/connection.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import type { HandlerTable } from "@persimmonpitch/protocol/method.js";
import type { Result } from "true-myth";
import type { EntryAddress } from "./agentSettings.js";

type EntryConnection = Connection<EntryToAgentMethods, AgentToEntryMethods>;

/** Opens a link to an entry; returns the reason when the entry cannot be reached. */
export type OpenLink = (address: EntryAddress) => Promise<Result<Link, string>>;

/** Dependencies of an entry connection. */
export interface EntryConnectionContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly identity: AgentIdentity;
    readonly openLink: OpenLink;
    readonly random: () => number;
    /** Whether the agent fails over to another entry when this one stops granting leases. */
    readonly failsOverWithoutGrant: boolean;
    /** Creates the handlers of calls from the entry; its instance id is known once it has answered `agent.hello`. */
    readonly createHandlers: (entryInstanceId: () => string) => HandlerTable<EntryToAgentMethods>;
    readonly fullReport: () => AgentReport;
    /** Report that holds only the tasks changed since the previous report. */
    readonly deltaReport: () => AgentReport;
    readonly configVersion: () => number;
    readonly onConnected: (entryInstanceId: string, wakeSignal: WakeSignal) => void;
    readonly onDisconnected: (entryInstanceId: string) => void;
    readonly onGrant: (answer: ReportAnswer, sentAt: Millis) => void;
}

const CALL_TIMEOUT_MS: Millis = 5_000;

/** Spreads the reconnects of a failed entry's agents over up to 10 s, so that they do not overload the next entry. */
const RECONNECT_BACKOFF = { baseMs: 200, maxMs: 10_000 };

/** Changes within this time are sent in one report. */
const REPORT_COALESCE_MS: Millis = 20;

/** Why a connection ended. */
type DisconnectReason =
    | "unreachable"
    | "closed"
    /** The entry stopped granting leases, because it lost contact with the holder of the scheduling role. */
    | "withoutGrant";

/** Opens one connection to one entry, announces the agent with `agent.hello`, and reports until the connection ends. */
const runConnection = async (
    context: EntryConnectionContext,
    address: EntryAddress,
    signal: AbortSignal,
): Promise<DisconnectReason> => {
    const { clock, logger } = context;
    const opened = await context.openLink(address);
    if (opened.isErr) {
        logger.log("debug", "entry.unreachable", { entry: address.id, detail: opened.error });
        return "unreachable";
    }
    let disconnectReason: DisconnectReason = "unreachable";
    let entryInstanceId = address.id;
    const connection: EntryConnection = new Connection({
        link: opened.value,
        clock,
        local: entryToAgentMethods,
        remote: agentToEntryMethods,
        handlers: context.createHandlers(() => entryInstanceId),
        onMalformed: detail => {
            logger.log("warn", "message.malformed", { entry: address.id, detail });
        },
    });
    const closeConnection = () => {
        connection.close();
    };
    signal.addEventListener("abort", closeConnection);
    const connectionEnded = connection.run();
    const sentAt = clock.now();
    const hello = await connection.call("agent.hello", {
        protocolVersion: PROTOCOL_VERSION,
        identity: context.identity,
        configVersion: context.configVersion(),
    }, CALL_TIMEOUT_MS);
    if (hello.isOk) {
        entryInstanceId = hello.value.entryInstanceId;
        context.onGrant({ ...hello.value.grant, limits: hello.value.limits }, sentAt);
        logger.log("info", "entry.connected", { entry: address.id });
        const wakeSignal = new WakeSignal();
        context.onConnected(entryInstanceId, wakeSignal);
        void connectionEnded.then(() => {
            wakeSignal.wake();
        });
        disconnectReason = await reportUntilClosed(context, connection, hello.value.heartbeatMs, wakeSignal);
        context.onDisconnected(entryInstanceId);
        logger.log("info", "entry.disconnected", { entry: address.id });
    }
    connection.close();
    await connectionEnded;
    signal.removeEventListener("abort", closeConnection);
    return disconnectReason;
};

const reportUntilClosed = async (
    context: EntryConnectionContext,
    connection: EntryConnection,
    heartbeatMs: Millis,
    wakeSignal: WakeSignal,
): Promise<DisconnectReason> => {
    const { clock, logger } = context;
    let report = context.fullReport();
    let hadGrant = false;
    while (connection.isOpen) {
        const sentAt = clock.now();
        const answer = await connection.call("agent.report", report, CALL_TIMEOUT_MS);
        if (answer.isErr) {
            logger.log("info", "report.unanswered", { detail: answer.error.detail });
            return "closed";
        }
        context.onGrant(answer.value, sentAt);
        const hasGrant = answer.value.grantMs >= heartbeatMs;
        if (context.failsOverWithoutGrant && hadGrant && !hasGrant) {
            logger.log("warn", "entry.withoutGrant", { grantMs: answer.value.grantMs });
            return "withoutGrant";
        }
        hadGrant ||= hasGrant;
        await wakeSignal.wait(clock, heartbeatMs);
        await clock.sleep(REPORT_COALESCE_MS);
        report = context.deltaReport();
    }
    return "closed";
};

/**
 * Keeps a connection to one of the entries until `signal` aborts: tries them in order until one answers, reports until
 * the connection ends, and reconnects after a delay with full jitter.
 */
export const runEntryConnection = async (
    context: EntryConnectionContext,
    rankedEntries: readonly EntryAddress[],
    signal: AbortSignal,
): Promise<void> => {
    let nextIndex = 0;
    let consecutiveFailures = 0;
    while (!signal.aborted) {
        const address = rankedEntries[nextIndex % rankedEntries.length];
        if (address === undefined) {
            return;
        }
        const disconnectReason = await runConnection(context, address, signal);
        nextIndex = disconnectReason === "closed" ? 0 : nextIndex + 1;
        consecutiveFailures = disconnectReason === "unreachable" ? consecutiveFailures + 1 : 0;
        // The first retry after a connection is delayed too: all agents of a failed entry lose theirs at the same time.
        await context.clock.sleep(
            backoffDelay(RECONNECT_BACKOFF, Math.max(1, consecutiveFailures), context.random),
            signal,
        );
    }
};
