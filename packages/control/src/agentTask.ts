import type { BackoffOptions } from "@persimmonpitch/clock/backoff.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import { withAnySignal } from "@persimmonpitch/clock/withAnySignal.js";
import { Connection } from "@persimmonpitch/protocol/connection.js";
import type {
    AgentToControllerMethods,
    ControllerToAgentMethods,
    ExecutorReport,
} from "@persimmonpitch/protocol/executorMessages.js";
import { agentToControllerMethods, controllerToAgentMethods } from "@persimmonpitch/protocol/executorMessages.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import type { ControllerContext } from "./controllerContext.js";
import type { ProcessRow } from "./rows.js";
import { rowKeys } from "./rows.js";

/** Connection to an agent from the controller's side. */
export type AgentConnection = Connection<AgentToControllerMethods, ControllerToAgentMethods>;

const CONNECT_TIMEOUT_MS: Millis = 700;
const ATTACH_TIMEOUT_MS: Millis = 3_000;
const RETRY_BACKOFF: BackoffOptions = { baseMs: 100, maxMs: 1_000 };

/** Callbacks for events on an agent connection. */
export interface AgentEvents {
    /** Called once the agent's executors have listed their runs under this controller's epoch. */
    onAttached(vm: string, connection: AgentConnection, reports: readonly ExecutorReport[]): void;
    onReport(vm: string, report: ExecutorReport): void;
    onDetached(vm: string): void;
    /** Called if the agent has accepted a newer controller. */
    onFenced(epoch: number): void;
    /** Extends leases and acknowledges ends. Returns whether the agent responded. */
    renewLeases(vm: string, connection: AgentConnection): Promise<boolean>;
}

/** Interval between lease extensions for an agent's executors. */
const LEASE_INTERVAL_MS: Millis = 1_000;

/**
 * Runs `work` until the agent's row changes. A changed row means that a new agent process is already listening, so the
 * caller need not wait for a connection to the old address or for a backoff delay.
 */
const untilRowChanges = async <T>(
    { replica }: ControllerContext,
    vm: string,
    signal: AbortSignal,
    work: (signal: AbortSignal) => Promise<T>,
): Promise<T> => {
    const changed = new AbortController();
    const stopListening = replica.listen(keys => {
        if (keys.includes(rowKeys.agent(vm))) {
            changed.abort();
        }
    });
    try {
        return await withAnySignal([signal, changed.signal], work);
    }
    finally {
        stopListening();
    }
};

/** Opens a link to the agent. Returns `undefined` on failure or if `signal` aborts first. */
const openLink = async (
    { connect }: ControllerContext,
    row: ProcessRow,
    signal: AbortSignal,
): Promise<Link | undefined> => {
    const connecting = connect(row, CONNECT_TIMEOUT_MS);
    const aborted = new Promise<undefined>(resolve => {
        signal.addEventListener("abort", () => {
            resolve(undefined);
        }, { once: true });
    });
    const link = await Promise.race([connecting, aborted]);
    if (link === undefined) {
        void connecting.then(lateLink => {
            lateLink.map(opened => {
                opened.close();
            });
        });
    }
    return link?.unwrapOr(undefined);
};

/** Keeps a connection to one agent open, reconnecting with backoff, and serves it. */
export const runAgentTask = async (
    context: ControllerContext,
    vm: string,
    epoch: number,
    events: AgentEvents,
    signal: AbortSignal,
): Promise<void> => {
    let failures = 0;
    while (!isAborted(signal)) {
        const row = context.replica.agents.get(vm)?.value;
        if (row === undefined) {
            return;
        }
        const link = await untilRowChanges(context, vm, signal, rowSignal => openLink(context, row, rowSignal));
        if (link !== undefined && !isAborted(signal)) {
            const connection: AgentConnection = new Connection({
                link,
                clock: context.clock,
                local: agentToControllerMethods,
                remote: controllerToAgentMethods,
                handlers: {
                    "agent.report": report => {
                        events.onReport(vm, report);
                        return Promise.resolve({});
                    },
                },
            });
            const isAttached = await serveConnection(context, vm, epoch, events, connection, signal);
            failures = isAttached ? 0 : failures + 1;
        }
        else {
            failures += 1;
        }
        if (context.replica.agents.get(vm)?.value === row) {
            await untilRowChanges(context, vm, signal, async rowSignal => {
                await context.clock.sleep(backoffDelay(RETRY_BACKOFF, failures, context.random), rowSignal);
            });
        }
    }
};

const serveConnection = async (
    { clock, logger }: ControllerContext,
    vm: string,
    epoch: number,
    events: AgentEvents,
    connection: AgentConnection,
    signal: AbortSignal,
): Promise<boolean> => {
    const served = connection.run();
    const attached = await connection.call("agent.attach", { epoch }, ATTACH_TIMEOUT_MS);
    if (attached.isErr || isAborted(signal)) {
        connection.close();
        await served;
        return false;
    }
    if (attached.value.kind === "refused") {
        events.onFenced(attached.value.epoch);
        connection.close();
        await served;
        return false;
    }
    logger.log("info", "agent.attached", { vm, epoch });
    events.onAttached(vm, connection, attached.value.reports);
    const closed = new AbortController();
    void served.then(() => {
        closed.abort();
    });
    while (connection.isOpen && !isAborted(signal) && await events.renewLeases(vm, connection)) {
        await withAnySignal([signal, closed.signal], closeSignal => clock.sleep(LEASE_INTERVAL_MS, closeSignal));
    }
    connection.close();
    await served;
    events.onDetached(vm);
    logger.log("info", "agent.detached", { vm });
    return true;
};
