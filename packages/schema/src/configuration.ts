import * as z from "zod";
import { gangShapeSchema } from "./gang.js";
import { digestSchema, identifierSchema, millisSchema } from "./identifier.js";

/** Workers run batch jobs; executors answer direct requests. */
export const endpointKindSchema = z.enum(["worker", "executor"]);
export type EndpointKind = z.infer<typeof endpointKindSchema>;

/** A VM as the asset register knows it. */
export const inventoryVmSchema = z.strictObject({
    id: identifierSchema,
    rack: identifierSchema,
    dataCentre: identifierSchema,
    kind: endpointKindSchema,
    service: identifierSchema.optional(),
    cores: z.number().positive(),
    memoryMb: z.number().positive(),
    accelerators: z.number().int().nonnegative(),
});
export type InventoryVm = z.infer<typeof inventoryVmSchema>;

/** More instances than the accelerators of the size to design for (930 VMs of 8), so only an error can exceed it. */
const MAX_INSTANCES = 10_000;

/** A shape promised to a team, `count` times over. */
export const guaranteeSchema = z.strictObject({
    team: identifierSchema,
    name: identifierSchema,
    shape: gangShapeSchema,
    count: z.number().int().positive().max(MAX_INSTANCES).default(1),
    dataCentres: z.array(identifierSchema).min(1).optional(),
});
export type Guarantee = z.infer<typeof guaranteeSchema>;

export const teamSchema = z.strictObject({
    id: identifierSchema,
    /** Share among teams that compete for capacity beyond their guarantees. */
    weight: z.number().positive().default(1),
    /** Most accelerators that the team may hold at once. */
    quotaAccelerators: z.number().int().nonnegative().optional(),
    tokenSha256: digestSchema,
});
export type Team = z.infer<typeof teamSchema>;

export const operatorSchema = z.strictObject({ id: identifierSchema, tokenSha256: digestSchema });
export type Operator = z.infer<typeof operatorSchema>;

/** Rules that operators set. */
export const rulesSchema = z.strictObject({
    completionWeight: z.number().min(0).max(1).default(0.5),
    fragmentationWeight: z.number().min(0).max(1).default(0.5),
    /** Time a preempted task gets for its checkpoint; urgent work must start within 3.4 s, which bounds it. */
    preemptionGraceMs: millisSchema.max(2_500).default(2_000),
    queueLengthPerTeam: z.number().int().positive().default(1_000),
    slotsPerExecutor: z.number().int().positive().default(8),
    connectionsPerExecutor: z.number().int().positive().default(64),
});
export type Rules = z.infer<typeof rulesSchema>;

/** Everything that operators load, without its version. */
export const configurationBodySchema = z.strictObject({
    vms: z.array(inventoryVmSchema),
    teams: z.array(teamSchema),
    operators: z.array(operatorSchema),
    guarantees: z.array(guaranteeSchema).default([]),
    rules: rulesSchema.prefault({}),
    /** VMs that are being emptied and get no new work. */
    drained: z.array(identifierSchema).default([]),
});
export type ConfigurationBody = z.infer<typeof configurationBodySchema>;

/** The configuration in force; versions only rise. */
export const configurationSchema = z.object({
    version: z.number().int().positive(),
    loadedAt: millisSchema,
    loadedBy: identifierSchema,
    body: configurationBodySchema,
});
export type Configuration = z.infer<typeof configurationSchema>;
