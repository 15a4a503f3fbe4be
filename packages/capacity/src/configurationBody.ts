import type { ConfigurationBody, InventoryVm, Operator } from "@persimmonpitch/schema/configuration.js";
import { configurationBodySchema } from "@persimmonpitch/schema/configuration.js";
import { createHash } from "node:crypto";
import { PLAN } from "./planSizes.js";

const VMS_PER_RACK = 16;
const ACCELERATORS = 8;
const MEMORY_MB = 524_288;
const CORES = 128;

const digestOf = (token: string): string => createHash("sha256").update(token).digest("hex");

export const OPERATOR_TOKEN = "capacity-operator-token";
export const OPERATOR: Operator = { id: "operator", tokenSha256: digestOf(OPERATOR_TOKEN) };
export const SERVICE = "desk";

export const teamName = (index: number): string => `team-${index}`;
export const teamToken = (index: number): string => `capacity-token-of-team-${index}`;

/** A worker VM of a numbered rack. */
export const workerVm = (index: number): InventoryVm => ({
    id: `worker-${index}`,
    rack: `rack-${Math.floor(index / VMS_PER_RACK)}`,
    dataCentre: "north",
    kind: "worker",
    cores: CORES,
    memoryMb: MEMORY_MB,
    accelerators: ACCELERATORS,
});

/** An executor VM of the one service. */
export const executorVm = (index: number): InventoryVm => ({
    ...workerVm(index),
    id: `executor-${index}`,
    kind: "executor",
    service: SERVICE,
    accelerators: 0,
});

/** A configuration of so many VMs and teams; the first team has no guarantee. */
export const buildBody = (vms: readonly InventoryVm[], teams: number): ConfigurationBody =>
    configurationBodySchema.parse({
        vms,
        teams: Array.from({ length: teams }, (_, index) => ({
            id: teamName(index),
            tokenSha256: digestOf(teamToken(index)),
        })),
        operators: [OPERATOR],
    });

/** So many worker VMs. */
export const workerVms = (count: number): readonly InventoryVm[] =>
    Array.from({ length: count }, (_, index) => workerVm(index));

/** As many teams as the plan has for so many workers. */
export const planTeams = (workers: number): number => Math.max(1, Math.round(workers * PLAN.teams / PLAN.workers));
