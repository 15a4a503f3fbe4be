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

type EntryLink = Connection<EntryToAgentMethods, AgentToEntryMethods>;

/** Opens a link to an entry. */
export type OpenLink = (address: EntryAddress) => Promise<Result<Link, string>>;

/** What the task of an entry connection works on. */
export interface EntryConnectionContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly identity: AgentIdentity;
    readonly openLink: OpenLink;
    readonly random: () => number;
    /** Whether the agent moves to another entry when this one cannot grant leases. */
    readonly needsLease: boolean;
    /** Handlers of calls from the entry, whose instance is known once it has answered the hello. */
    readonly handlersFor: (entryInstanceId: () => string) => HandlerTable<EntryToAgentMethods>;
    readonly fullReport: () => AgentReport;
    /** Changes since the last report on this connection; undefined when there are none. */
    readonly deltaReport: () => AgentReport;
    readonly configVersion: () => number;
    readonly onConnected: (entryInstanceId: string, wake: WakeSignal) => void;
    readonly onDisconnected: (entryInstanceId: string) => void;
    readonly onGrant: (answer: ReportAnswer, sentAt: Millis) => void;
}

const CALL_TIMEOUT_MS: Millis = 5_000;

/** Spreads the agents of a lost entry over 10 s, so that the next entry is not flooded. */
const RECONNECT = { baseMs: 200, maxMs: 10_000 };

/** Changes within this time share one report. */
const COALESCE_MS: Millis = 20;

/** How a connection ended. */
type ConnectionEnd =
    | "unreachable"
    | "closed"
    /** The entry no longer grants leases, because it has lost the role holder. */
    | "withoutGrant";

/** One connection to one entry, from the hello to its end. */
const runConnection = async (
    context: EntryConnectionContext,
    address: EntryAddress,
    signal: AbortSignal,
): Promise<ConnectionEnd> => {
    const { clock, logger } = context;
    const opened = await context.openLink(address);
    if (opened.isErr) {
        logger.log("debug", "entry.unreachable", { entry: address.id, detail: opened.error });
        return "unreachable";
    }
    let end: ConnectionEnd = "unreachable";
    let entryInstanceId = address.id;
    const connection: EntryLink = new Connection({
        link: opened.value,
        clock,
        local: entryToAgentMethods,
        remote: agentToEntryMethods,
        handlers: context.handlersFor(() => entryInstanceId),
        onMalformed: detail => {
            logger.log("warn", "message.malformed", { entry: address.id, detail });
        },
    });
    const close = () => {
        connection.close();
    };
    signal.addEventListener("abort", close);
    const served = connection.run();
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
        const wake = new WakeSignal();
        context.onConnected(entryInstanceId, wake);
        void served.then(() => {
            wake.wake();
        });
        end = await reportUntilClosed(context, connection, hello.value.heartbeatMs, wake);
        context.onDisconnected(entryInstanceId);
        logger.log("info", "entry.disconnected", { entry: address.id });
    }
    connection.close();
    await served;
    signal.removeEventListener("abort", close);
    return end;
};

const reportUntilClosed = async (
    context: EntryConnectionContext,
    connection: EntryLink,
    heartbeatMs: Millis,
    wake: WakeSignal,
): Promise<ConnectionEnd> => {
    const { clock, logger } = context;
    let report = context.fullReport();
    let wasGranted = false;
    while (connection.isOpen) {
        const sentAt = clock.now();
        const answer = await connection.call("agent.report", report, CALL_TIMEOUT_MS);
        if (answer.isErr) {
            logger.log("info", "report.unanswered", { detail: answer.error.detail });
            return "closed";
        }
        context.onGrant(answer.value, sentAt);
        const isGranted = answer.value.grantMs >= heartbeatMs;
        if (context.needsLease && wasGranted && !isGranted) {
            logger.log("warn", "entry.withoutGrant", { grantMs: answer.value.grantMs });
            return "withoutGrant";
        }
        wasGranted ||= isGranted;
        await wake.wait(clock, heartbeatMs);
        await clock.sleep(COALESCE_MS);
        report = context.deltaReport();
    }
    return "closed";
};

/**
 * The task of one entry connection: connects to the entries in order until one answers, reports until the
 * connection ends, and starts again after a delay with full jitter.
 */
export const runEntryConnection = async (
    context: EntryConnectionContext,
    order: readonly EntryAddress[],
    signal: AbortSignal,
): Promise<void> => {
    let next = 0;
    let failures = 0;
    while (!signal.aborted) {
        const address = order[next % order.length];
        if (address === undefined) {
            return;
        }
        const end = await runConnection(context, address, signal);
        next = end === "closed" ? 0 : next + 1;
        failures = end === "unreachable" ? failures + 1 : 0;
        // After a connection that worked, the first retry is delayed too: all agents of a lost entry notice at once.
        await context.clock.sleep(backoffDelay(RECONNECT, Math.max(1, failures), context.random), signal);
    }
};
