import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RoutingOptions } from "@persimmonpitch/routing/serviceRouter.js";
import { DEFAULT_ROUTING_OPTIONS } from "@persimmonpitch/routing/serviceRouter.js";

/** Delays of one deployment, one way (section 3 of the design). */
export interface DirectDeployment {
    readonly betweenDataCentresMs: Millis;
    readonly fromClientsMs: Millis;
}

export const DIRECT_DEPLOYMENTS = {
    cooperative: { betweenDataCentresMs: 5, fromClientsMs: 3 },
    lentesud: { betweenDataCentresMs: 3.5, fromClientsMs: 1 },
} as const satisfies Readonly<Record<string, DirectDeployment>>;

/** How entries choose. `routing` is the real code; the others are baselines with an unbounded queue at each executor. */
export type DirectPolicy = "routing" | "randomFifo" | "roundRobin";

/** What a replay is made from. */
export interface DirectReplayOptions {
    readonly seed: number;
    readonly load: number;
    readonly durationMs: Millis;
    readonly deployment: keyof typeof DIRECT_DEPLOYMENTS;
    readonly policy: DirectPolicy;
    /** Whether answers and refusals carry the executor's load, besides the report of every second. */
    readonly loadWithAnswers: boolean;
    readonly routing: RoutingOptions;
}

export const DEFAULT_DIRECT_REPLAY_OPTIONS: DirectReplayOptions = {
    seed: 1,
    load: 3,
    durationMs: 60_000,
    deployment: "cooperative",
    policy: "routing",
    loadWithAnswers: true,
    routing: DEFAULT_ROUTING_OPTIONS,
};

/** The service that all requests ask for, and the sizes of its deployment. */
export const SERVICE = "render";
export const ENTRIES = 4;
export const EXECUTORS = 11;
export const SLOTS = 8;
export const CONNECTIONS = 64;

/** The failing executor answers fast, which draws load to it unless it is taken out. */
export const FAILING_EXECUTOR = 0;
export const FAILURE_MS: Millis = 5;
export const LEAVING_EXECUTOR = 7;
/** The failing executor does no useful work, and one leaves after half of the time. */
export const USABLE_EXECUTORS = EXECUTORS - 1.5;
