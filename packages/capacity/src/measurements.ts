import type { Measurement } from "./measurement.js";
import { agentBusy } from "./measurements/agentBusy.js";
import { agentIdle } from "./measurements/agentIdle.js";
import { entryAgents } from "./measurements/entryAgents.js";

/** All measurements by the name that `--only` takes. */
export const MEASUREMENTS = {
    agentIdle,
    agentBusy,
    entryAgents,
} as const satisfies Readonly<Record<string, Measurement>>;

/** Name of a measurement. */
export type MeasurementName = keyof typeof MEASUREMENTS;

export const isMeasurementName = (name: string): name is MeasurementName => Object.hasOwn(MEASUREMENTS, name);
