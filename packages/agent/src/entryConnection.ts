import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type {
    AgentIdentity,
    AgentReport,
    AgentToEntryMethods,
    EntryToAgentMethods,
    ExecutorLimits,
    LeaseGrant,
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
    /** Handlers of calls from the entry, whose id is known once it has answered the hello. */
    readonly handlersFor: (entryId: () => string) => HandlerTable<EntryToAgentMethods>;
    readonly fullReport: () => AgentReport;
    /** Changes since the last report on this connection; undefined when there are none. */
    readonly deltaReport: () => AgentReport;
    readonly configVersion: () => number;
    readonly onConnected: (entryId: string, limits: ExecutorLimits, wake: WakeSignal) => void;
    readonly onDisconnected: (entryId: string) => void;
    readonly onGrant: (grant: LeaseGrant, sentAt: Millis) => void;
}

const CALL_TIMEOUT_MS: Millis = 5_000;

/** Spreads the agents of a lost entry over 10 s, so that the next entry is not flooded. */
const RECONNECT = { baseMs: 200, maxMs: 10_000 };

/** Changes within this time share one report. */
const COALESCE_MS: Millis = 20;

/** One connection to one entry, from the hello to its end; returns whether it got as far as the hello. */
const runConnection = async (
    context: EntryConnectionContext,
    address: EntryAddress,
    signal: AbortSignal,
): Promise<boolean> => {
    const { clock, logger } = context;
    const opened = await context.openLink(address);
    if (opened.isErr) {
        logger.log("debug", "entry.unreachable", { entry: address.id, detail: opened.error });
        return false;
    }
    let entryId = address.id;
    const connection: EntryLink = new Connection({
        link: opened.value,
        clock,
        local: entryToAgentMethods,
        remote: agentToEntryMethods,
        handlers: context.handlersFor(() => entryId),
        onMalformed: detail => {
            logger.log("warn", "message.malformed", { entry: entryId, detail });
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
        entryId = hello.value.entryId;
        context.onGrant(hello.value.grant, sentAt);
        logger.log("info", "entry.connected", { entry: entryId });
        const wake = new WakeSignal();
        context.onConnected(entryId, hello.value.limits, wake);
        void served.then(() => {
            wake.wake();
        });
        await reportUntilClosed(context, connection, hello.value.heartbeatMs, wake);
        context.onDisconnected(entryId);
        logger.log("info", "entry.disconnected", { entry: entryId });
    }
    connection.close();
    await served;
    signal.removeEventListener("abort", close);
    return hello.isOk;
};

const reportUntilClosed = async (
    context: EntryConnectionContext,
    connection: EntryLink,
    heartbeatMs: Millis,
    wake: WakeSignal,
): Promise<void> => {
    const { clock, logger } = context;
    let report = context.fullReport();
    while (connection.isOpen) {
        const sentAt = clock.now();
        const answer = await connection.call("agent.report", report, CALL_TIMEOUT_MS);
        if (answer.isErr) {
            logger.log("info", "report.unanswered", { detail: answer.error.detail });
            return;
        }
        context.onGrant(answer.value, sentAt);
        await wake.wait(clock, heartbeatMs);
        await clock.sleep(COALESCE_MS);
        report = context.deltaReport();
    }
};

/**
 * The task of one entry connection: connects to the first entry of `order()` that answers, reports until the
 * connection ends, and starts again after a delay with full jitter.
 */
export const runEntryConnection = async (
    context: EntryConnectionContext,
    order: readonly EntryAddress[],
    signal: AbortSignal,
): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
        const address = order[failures % order.length];
        if (address === undefined) {
            return;
        }
        const connected = await runConnection(context, address, signal);
        failures = connected ? 0 : failures + 1;
        // After a connection that worked, the first retry is delayed too: all agents of a lost entry notice at once.
        await context.clock.sleep(backoffDelay(RECONNECT, Math.max(1, failures), context.random), signal);
    }
};
