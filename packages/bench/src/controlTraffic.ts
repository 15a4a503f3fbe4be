import type { ReplayJob } from "./replayJob.js";
import type { ReplayState } from "./replayState.js";

/** Sizes of control messages for the estimate of bytes between data centres. */
const MESSAGE_BYTES = 250;
const HEARTBEAT_BYTES = 100;
const HEARTBEAT_INTERVAL_MS = 5_000;

/** Estimates the bytes of control messages between the role holder's data centre and the others. */
export class ControlTraffic {
    private readonly holderDataCentre: string;
    private orderBytes = 0;

    constructor(private readonly state: ReplayState) {
        this.holderDataCentre = state.trace.deployment.vms[0]?.dataCentre ?? "";
    }

    /** Counts messages to or from every member of the job's gang. */
    countMessages({ members }: ReplayJob, messages: number): void {
        this.orderBytes += this.state.cluster.membersOutside(members, this.holderDataCentre) * messages * MESSAGE_BYTES;
    }

    /** Bytes of all messages until now, and of the heartbeats. */
    bytesAcross(): number {
        const { now, trace } = this.state;
        const remoteVms = trace.deployment.vms.filter(({ dataCentre }) => dataCentre !== this.holderDataCentre);
        return this.orderBytes + remoteVms.length * now / HEARTBEAT_INTERVAL_MS * HEARTBEAT_BYTES;
    }
}
