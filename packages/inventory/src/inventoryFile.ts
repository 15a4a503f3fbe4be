import {
    guaranteeSchema,
    inventoryVmSchema,
    operatorSchema,
    rulesSchema,
    teamSchema,
} from "@persimmonpitch/schema/configuration.js";
import { identifierSchema } from "@persimmonpitch/schema/identifier.js";
import * as z from "zod";

/** A rack whose VMs are alike; a rack with two kinds of VM is written as two tables of the same id. */
export const rackTableSchema = inventoryVmSchema.omit({ rack: true }).extend({
    vms: z.array(identifierSchema).min(1),
});
export type RackTable = z.infer<typeof rackTableSchema>;

/** A team with its guarantees below it. */
export const teamTableSchema = teamSchema.extend({
    guarantee: z.array(guaranteeSchema.omit({ team: true })).default([]),
});
export type TeamTable = z.infer<typeof teamTableSchema>;

/** The TOML file that operators write. */
export const inventoryFileSchema = z.strictObject({
    vm: z.array(inventoryVmSchema).default([]),
    rack: z.array(rackTableSchema).default([]),
    team: z.array(teamTableSchema).default([]),
    operator: z.array(operatorSchema).default([]),
    rules: rulesSchema.prefault({}),
    /** Without this key, a load keeps the drains that are in force. */
    drained: z.array(identifierSchema).optional(),
});
export type InventoryFile = z.infer<typeof inventoryFileSchema>;
