import type { Millis } from "@persimmonpitch/clock/clock.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import { Connection } from "@persimmonpitch/protocol/connection.js";
import type {
    AgentToControllerMethods,
    ControllerToAgentMethods,
    ExecutorReport,
} from "@persimmonpitch/protocol/executorMessages.js";
import { agentToControllerMethods, controllerToAgentMethods } from "@persimmonpitch/protocol/executorMessages.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import { isCold } from "@persimmonpitch/workload/executorReport.js";
import type { ControllerHandlerContext } from "./controllerHandlers.js";
import { createControllerHandlers } from "./controllerHandlers.js";

/** Dependencies of the task that serves a controller's connection. */
export interface ControllerConnectionContext extends ControllerHandlerContext {
    readonly openConnections: Set<ControllerConnectionHandle>;
}

/** The agent's handle on an open connection of a controller. */
export interface ControllerConnectionHandle {
    /** Wakes the connection's task when a report may have changed. */
    readonly wake: () => void;
    readonly close: () => void;
}

type ControllerRpc = Connection<ControllerToAgentMethods, AgentToControllerMethods>;

const REPORT_INTERVAL_MS: Millis = 1_000;
/** Rounding can make a wait 0 although no report is due yet; without a minimum the loop would then spin. */
const MIN_REPORT_WAIT_MS: Millis = 1;

/** A controller that does not answer a report within this time is taken to be partitioned or stalled. */
const REPORT_TIMEOUT_MS: Millis = 2_000;

/** The last report about one executor that was sent on a connection. */
interface SentReport {
    readonly signature: string;
    readonly born: number;
    /** Number of the last end that was reported to the controller. */
    readonly lastEnd: number;
    readonly sentAtMs: Millis;
}

/**
 * The fields of a report whose changes are sent immediately, as are new ends. Other changes wait for the next periodic
 * report.
 */
const reportSignature = ({ executor, isUnreachable, hasLeft, list }: ExecutorReport): string =>
    JSON.stringify([
        executor.born,
        executor.capacity,
        executor.isDraining,
        isCold(executor),
        isUnreachable,
        hasLeft,
        list?.running.map(({ task, run }) => [task, run]),
    ]);

const lastEndNumber = ({ list }: ExecutorReport): number => list?.ends.at(-1)?.number ?? 0;

/** Sends executor reports on one connection of a controller. */
class ReportSender {
    private readonly lastSentReports = new Map<string, SentReport>();
    /** Undefined until the controller has attached. */
    private epoch: number | undefined;

    constructor(private readonly context: ControllerConnectionContext, private readonly connection: ControllerRpc) {}

    onAttached(epoch: number, reports: readonly ExecutorReport[]): void {
        this.epoch = epoch;
        reports.forEach(report => {
            this.recordSent(report);
        });
    }

    /** Sends reports until the connection closes or the controller leaves one unanswered. */
    async run(wakeSignal: WakeSignal): Promise<void> {
        const { clock, signal, logger } = this.context;
        while (this.connection.isOpen && !signal.aborted) {
            const areAnswered = await Promise.all(this.dueReports().map(report => this.send(report)));
            if (areAnswered.includes(false)) {
                logger.log("info", "report.unanswered", { epoch: this.epoch });
                return;
            }
            if (this.dueReports().length === 0) {
                await wakeSignal.wait(clock, this.timeUntilNextReport(), signal);
            }
        }
    }

    private dueReports(): readonly ExecutorReport[] {
        const { controllerEpoch, executors, clock } = this.context;
        if (this.epoch !== controllerEpoch.current) {
            return [];
        }
        return [...executors.values()].map(executor => executor.report()).filter(report => {
            const lastSent = this.lastSentReports.get(report.executor.executorId);
            return lastSent === undefined || clock.now() - lastSent.sentAtMs >= REPORT_INTERVAL_MS
                || reportSignature(report) !== lastSent.signature || lastEndNumber(report) > lastSent.lastEnd;
        });
    }

    private async send(report: ExecutorReport): Promise<boolean> {
        this.recordSent(report);
        const response = await this.connection.call("agent.report", report, REPORT_TIMEOUT_MS);
        return response.isOk;
    }

    private recordSent(report: ExecutorReport): void {
        const { executorId, born } = report.executor;
        const lastSent = this.lastSentReports.get(executorId);
        this.lastSentReports.set(executorId, {
            signature: reportSignature(report),
            born,
            // Later reports leave out acknowledged ends; that must not lower the number of the last reported end.
            lastEnd: Math.max(lastEndNumber(report), lastSent?.born === born ? lastSent.lastEnd : 0),
            sentAtMs: this.context.clock.now(),
        });
    }

    private timeUntilNextReport(): Millis {
        if (this.epoch !== this.context.controllerEpoch.current) {
            return REPORT_INTERVAL_MS;
        }
        const now = this.context.clock.now();
        const sentReports = [...this.context.executors.keys()].flatMap(executorId =>
            this.lastSentReports.get(executorId) ?? []
        );
        const waitMs = Math.min(
            REPORT_INTERVAL_MS,
            ...sentReports.map(({ sentAtMs }) => sentAtMs + REPORT_INTERVAL_MS - now),
        );
        return Math.max(MIN_REPORT_WAIT_MS, waitMs);
    }
}

/** Serves the calls of a controller and sends it reports until the connection closes. */
export const runControllerConnection = async (context: ControllerConnectionContext, link: Link): Promise<void> => {
    const { clock, logger } = context;
    const wakeSignal = new WakeSignal();
    const connection: ControllerRpc = new Connection({
        link,
        clock,
        local: controllerToAgentMethods,
        remote: agentToControllerMethods,
        handlers: createControllerHandlers(context, (epoch, reports) => {
            reportSender.onAttached(epoch, reports);
            wakeSignal.wake();
        }),
        onMalformed: detail => {
            logger.log("warn", "message.malformed", { detail });
        },
    });
    const reportSender = new ReportSender(context, connection);
    const handle: ControllerConnectionHandle = {
        wake: () => {
            wakeSignal.wake();
        },
        close: () => {
            connection.close();
        },
    };
    context.openConnections.add(handle);
    const serving = connection.run().finally(() => {
        wakeSignal.wake();
    });
    await reportSender.run(wakeSignal);
    context.openConnections.delete(handle);
    connection.close();
    await serving;
};
