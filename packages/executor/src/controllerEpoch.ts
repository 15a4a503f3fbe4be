import { createSharedAbortController } from "@persimmonpitch/clock/createSharedAbortController.js";

/** The highest epoch with which a controller has attached to this agent; requests with a lower epoch are refused. */
export class ControllerEpoch {
    private highest = 0;
    private supersededAbort = createSharedAbortController();

    /** 0 until the first controller attaches. */
    get current(): number {
        return this.highest;
    }

    /** Aborts when a higher epoch is accepted. */
    get supersededSignal(): AbortSignal {
        return this.supersededAbort.signal;
    }

    /** Accepts an epoch that is not lower than the current one; a higher epoch cancels the work of the previous one. */
    accept(epoch: number): boolean {
        if (epoch > this.highest) {
            this.highest = epoch;
            this.supersededAbort.abort();
            this.supersededAbort = createSharedAbortController();
        }
        return epoch === this.highest;
    }
}
