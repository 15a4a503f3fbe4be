import type { TraceFault, TraceJob } from "./traceSchema.js";

/** What happens at one moment of a replay. */
export type ReplayEvent =
    | { readonly kind: "submit"; readonly job: TraceJob; }
    | { readonly kind: "cancel"; readonly jobId: string; }
    | { readonly kind: "end"; readonly jobId: string; readonly attempt: number; readonly failedOn?: string; }
    | { readonly kind: "stopped"; readonly jobId: string; readonly attempt: number; }
    | { readonly kind: "fault"; readonly fault: TraceFault; }
    | { readonly kind: "pass"; };

/** Handlers of all kinds of events. */
export type EventHandlers = {
    readonly [K in ReplayEvent["kind"]]: (event: Extract<ReplayEvent, { kind: K; }>) => void;
};
