import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { DirectDeployment } from "./directSettings.js";
import type { Random } from "./directTrace.js";
import { exponential } from "./directTrace.js";
import type { EventLoop } from "./eventLoop.js";

const WITHIN_DATA_CENTRE_MS: Millis = 0.25;
const JITTER_SHARE = 0.2;
/** Packets lost between data centres; TCP sends them again after its shortest timeout. */
const LOSS_SHARE = 0.005;
const RETRANSMISSION_MS: Millis = 200;

/** The links between clients, entries and executors. */
export class DirectNetwork {
    constructor(
        private readonly loop: EventLoop,
        private readonly random: Random,
        private readonly deployment: DirectDeployment,
    ) {}

    betweenVms(from: number, to: number, deliver: () => void): void {
        if (from === to) {
            this.loop.after(this.withJitter(WITHIN_DATA_CENTRE_MS), deliver);
            return;
        }
        const retransmissionMs = this.random() < LOSS_SHARE ? RETRANSMISSION_MS : 0;
        this.loop.after(this.withJitter(this.deployment.betweenDataCentresMs) + retransmissionMs, deliver);
    }

    toOrFromClient(deliver: () => void): void {
        this.loop.after(this.withJitter(this.deployment.fromClientsMs), deliver);
    }

    private withJitter(delay: Millis): Millis {
        return delay + exponential(this.random, delay * JITTER_SHARE);
    }
}
