import * as z from "zod";

const MAX_ENDPOINTS = 200;

const portSchema = z.number().int().min(0).max(65_535);

/** Endpoints of one kind: the first listens on `firstPort`, each other one on the next port; 0 takes free ports. */
const endpointsSchema = z.strictObject({
    count: z.number().int().min(0).max(MAX_ENDPOINTS).default(0),
    firstPort: portSchema.default(0),
});

/** Settings of the stand-ins; they listen on loopback only. */
export const standinsSettingsSchema = z.strictObject({
    tablePort: portSchema.default(0),
    objectStorePort: portSchema.default(0),
    workers: endpointsSchema
        .extend({ accelerators: z.number().int().min(0).default(8) })
        .prefault({}),
    executors: endpointsSchema.prefault({}),
});
export type StandinsSettings = z.infer<typeof standinsSettingsSchema>;
