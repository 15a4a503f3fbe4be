import type { Measurement } from "./measurement.js";
import { agentBusy } from "./measurements/agentBusy.js";
import { agentIdle } from "./measurements/agentIdle.js";
import { configSpread } from "./measurements/configSpread.js";
import { directRequests } from "./measurements/directRequests.js";
import { entryAgents } from "./measurements/entryAgents.js";
import { historyExport } from "./measurements/historyExport.js";
import { reconnection } from "./measurements/reconnection.js";
import { roleChange } from "./measurements/roleChange.js";
import { schedulingTurn } from "./measurements/schedulingTurn.js";
import { tableIdle } from "./measurements/tableIdle.js";
import { tableJobs } from "./measurements/tableJobs.js";
import { tableOutage } from "./measurements/tableOutage.js";

/** All measurements by the name that `--only` takes. */
export const MEASUREMENTS = {
    agentIdle,
    agentBusy,
    directRequests,
    entryAgents,
    schedulingTurn,
    roleChange,
    configSpread,
    reconnection,
    tableIdle,
    tableJobs,
    tableOutage,
    historyExport,
} as const satisfies Readonly<Record<string, Measurement>>;

/** Name of a measurement. */
export type MeasurementName = keyof typeof MEASUREMENTS;

export const isMeasurementName = (name: string): name is MeasurementName => Object.hasOwn(MEASUREMENTS, name);
