import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { DirectReply } from "./directExecutor.js";
import { DirectExecutor } from "./directExecutor.js";
import { DirectNetwork } from "./directNetwork.js";
import type { DirectClientOutcome, DirectRecord } from "./directRecord.js";
import type { DirectReplayOptions } from "./directSettings.js";
import { DIRECT_DEPLOYMENTS, EXECUTORS } from "./directSettings.js";
import type { Random } from "./directTrace.js";
import { DIRECT_KINDS } from "./directTrace.js";
import type { EventLoop } from "./eventLoop.js";

/** An endpoint that is leaving receives no new work after 3 s (I6). */
const LEAVING_GRACE_MS: Millis = 3_000;

/** Events that no single request accounts for. */
export interface DirectCounters {
    sentAfterLeaving: number;
}

/** What entries have in common: the links, the executors and the way back to the client. */
export class DirectSurroundings {
    readonly executors: readonly DirectExecutor[];
    readonly counters: DirectCounters = { sentAfterLeaving: 0 };
    readonly network: DirectNetwork;

    constructor(readonly loop: EventLoop, readonly random: Random, readonly options: DirectReplayOptions) {
        const queues = options.policy !== "routing";
        this.network = new DirectNetwork(loop, random, DIRECT_DEPLOYMENTS[options.deployment]);
        this.executors = Array.from({ length: EXECUTORS }, (unused, index) => new DirectExecutor(index, loop, queues));
    }

    /** Sends one attempt and hands back its end. */
    attempt(entry: number, executor: DirectExecutor, record: DirectRecord, ended: DirectReply): void {
        const { requestBytes, answerBytes } = DIRECT_KINDS[record.arrival.kind];
        record.attempts += 1;
        if (this.loop.now > executor.leavingSince + LEAVING_GRACE_MS) {
            this.counters.sentAfterLeaving += 1;
        }
        const isCrossing = entry !== executor.dataCentre;
        record.bytesBetweenDataCentres += isCrossing ? requestBytes : 0;
        this.network.betweenVms(entry, executor.dataCentre, () => {
            executor.receive(record, (outcome, load) => {
                record.bytesBetweenDataCentres += isCrossing && outcome === "answered" ? answerBytes : 0;
                record.busyRefusals += outcome === "busy" ? 1 : 0;
                this.network.betweenVms(executor.dataCentre, entry, () => {
                    ended(outcome, load);
                });
            });
        });
    }

    tellClient(record: DirectRecord, outcome: DirectClientOutcome): void {
        this.network.toOrFromClient(() => {
            record.outcome = outcome;
            record.elapsedMs = this.loop.now - record.arrival.at;
        });
    }
}
