import type { HistoryEvent } from "@persimmonpitch/schema/historyRecord.js";

const TERMINAL: Readonly<Record<HistoryEvent, boolean>> = {
    accepted: false,
    refused: true,
    claimed: false,
    started: false,
    preempted: false,
    requeued: false,
    cancelRequested: false,
    cancelled: true,
    finished: true,
    failed: true,
};

/** Whether nothing can happen to a job or request after this event. */
export const isTerminalEvent = (event: HistoryEvent): boolean => TERMINAL[event];
