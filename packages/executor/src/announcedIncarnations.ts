import type { BackoffOptions } from "@persimmonpitch/clock/backoff.js";
import { backoffDelay } from "@persimmonpitch/clock/backoff.js";
import type { Millis } from "@persimmonpitch/clock/clock.js";
import { withTimeoutSignal } from "@persimmonpitch/clock/withTimeoutSignal.js";
import type { ExecutorInfo, RunList } from "@persimmonpitch/workload/executorReport.js";
import type { Result } from "true-myth";
import type { AgentContext } from "./agentContext.js";
import type { ExecutorFailure } from "./executorPort.js";

/** An announcement is dropped when no heartbeat has repeated it for this long; executors send one every 1 to 2 s. */
const ANNOUNCEMENT_TTL_MS: Millis = 5_000;

/** Bounds the memory and the calls that heartbeats of unknown senders can cause. */
const MAX_ANNOUNCEMENTS = 32;

const PROBE_TIMEOUT_MS: Millis = 1_000;
const RETRY_BACKOFF: BackoffOptions = { baseMs: 50, maxMs: 1_000 };
/** Full jitter may choose a delay near 0, which would retry a failing call without a pause. */
const MIN_RETRY_DELAY_MS: Millis = 20;

/** An incarnation of an executor, as the latest heartbeat describes it. */
export interface Announcement {
    readonly info: ExecutorInfo;
    /** Sequence number of the heartbeat. */
    readonly sequence: number;
}

/** An announcement that no executor has confirmed yet. */
interface PendingAnnouncement {
    readonly key: string;
    latest: Announcement;
    heardAtMs: Millis;
}

/** What identifies an incarnation: the executor, its start time, and the address at which it listens. */
const announcementKey = ({ executorId, born, address }: ExecutorInfo): string =>
    JSON.stringify([executorId, born, address]);

/**
 * Incarnations of executors that heartbeats announce. A heartbeat may come from any process and may name any executor and
 * any address, so an incarnation counts only once it has answered a list call at its address, under its id and with its
 * start time.
 */
export class AnnouncedIncarnations {
    private readonly pending = new Map<string, PendingAnnouncement>();

    constructor(
        private readonly context: AgentContext,
        private readonly onConfirmed: (announcement: Announcement) => void,
    ) {}

    /** Records a heartbeat of an incarnation that has not been confirmed. Resolves once it is confirmed or dropped. */
    async announce(announcement: Announcement): Promise<void> {
        const { clock, logger } = this.context;
        const { info, sequence } = announcement;
        const key = announcementKey(info);
        const known = this.pending.get(key);
        if (known !== undefined) {
            known.heardAtMs = clock.now();
            known.latest = sequence > known.latest.sequence ? announcement : known.latest;
            return;
        }
        if (this.pending.size >= MAX_ANNOUNCEMENTS) {
            logger.log("warn", "announcement.omitted", { executor: info.executorId, pending: this.pending.size });
            return;
        }
        const added: PendingAnnouncement = { key, latest: announcement, heardAtMs: clock.now() };
        this.pending.set(key, added);
        await this.confirmUntilDropped(added);
    }

    /** Asks all announced incarnations once, for a controller that attaches. */
    async confirmAll(): Promise<void> {
        await Promise.all([...this.pending.values()].map(announcement => this.tryConfirm(announcement)));
    }

    private async confirmUntilDropped(announcement: PendingAnnouncement): Promise<void> {
        const { clock, random, signal } = this.context;
        let failures = 0;
        while (this.isPending(announcement) && !signal.aborted) {
            if (clock.now() - announcement.heardAtMs >= ANNOUNCEMENT_TTL_MS) {
                this.drop(announcement, "No executor answered.");
                return;
            }
            await this.tryConfirm(announcement);
            if (this.isPending(announcement)) {
                failures += 1;
                await clock.sleep(
                    Math.max(MIN_RETRY_DELAY_MS, backoffDelay(RETRY_BACKOFF, failures, random)),
                    signal,
                );
            }
        }
    }

    private async tryConfirm(announcement: PendingAnnouncement): Promise<void> {
        // Calls carry a fencing token, which exists only once a controller has attached.
        if (this.context.controllerEpoch.current === 0) {
            return;
        }
        const { info } = announcement.latest;
        const list = await this.probe(info);
        if (list.isErr || !this.isPending(announcement)) {
            return;
        }
        if (list.value.born !== info.born) {
            this.drop(announcement, `Another incarnation answered: ${list.value.born}.`);
            return;
        }
        this.pending.delete(announcement.key);
        this.onConfirmed(announcement.latest);
    }

    private probe({ executorId, address }: ExecutorInfo): Promise<Result<RunList, ExecutorFailure>> {
        const { clock, port, controllerEpoch, signal } = this.context;
        return withTimeoutSignal(
            { clock, timeoutMs: PROBE_TIMEOUT_MS, signal },
            probeSignal => port.probe({ executorId, address, fencingToken: controllerEpoch.current }, probeSignal),
        );
    }

    private isPending(announcement: PendingAnnouncement): boolean {
        return this.pending.get(announcement.key) === announcement;
    }

    private drop(announcement: PendingAnnouncement, detail: string): void {
        const { executorId, born, address, service } = announcement.latest.info;
        this.context.logger.log("info", "announcement.dropped", {
            executor: executorId,
            born,
            address,
            service,
            detail,
        });
        this.pending.delete(announcement.key);
    }
}
