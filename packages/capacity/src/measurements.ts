import type { Measurement } from "./measurement.js";
import { agentBusy } from "./measurements/agentBusy.js";
import { agentIdle } from "./measurements/agentIdle.js";
import { commandLine } from "./measurements/commandLine.js";
import { configSpread } from "./measurements/configSpread.js";
import { configurationSize } from "./measurements/configurationSize.js";
import { directRequests } from "./measurements/directRequests.js";
import { dispatchPasses } from "./measurements/dispatchPasses.js";
import { entryAgents } from "./measurements/entryAgents.js";
import { historyExport } from "./measurements/historyExport.js";
import { reconnection } from "./measurements/reconnection.js";
import { region } from "./measurements/region.js";
import { schedulingTurn } from "./measurements/schedulingTurn.js";
import { tableIdle } from "./measurements/tableIdle.js";
import { tableJobs } from "./measurements/tableJobs.js";
import { tableOutage } from "./measurements/tableOutage.js";

/** All measurements by the name that `--only` takes, the longest first where several run at the same time. */
export const MEASUREMENTS = {
    schedulingTurn,
    dispatchPasses,
    historyExport,
    commandLine,
    region,
    agentIdle,
    entryAgents,
    agentBusy,
    directRequests,
    tableJobs,
    reconnection,
    configurationSize,
    tableIdle,
    tableOutage,
    configSpread,
} satisfies Readonly<Record<string, Measurement>>;

/** Name of a measurement. */
export type MeasurementName = keyof typeof MEASUREMENTS;

export const isMeasurementName = (name: string): name is MeasurementName => Object.hasOwn(MEASUREMENTS, name);
