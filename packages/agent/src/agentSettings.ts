import { endpointKindSchema } from "@persimmonpitch/schema/configuration.js";
import { identifierSchema } from "@persimmonpitch/schema/identifier.js";
import * as z from "zod";

/** Address at which an entry accepts connections from agents, and the entry's data centre. */
export const entryAddressSchema = z.strictObject({
    id: identifierSchema,
    host: z.string().min(1),
    port: z.number().int().min(1).max(65_535),
    dataCentre: identifierSchema,
});
export type EntryAddress = z.infer<typeof entryAddressSchema>;

const HEX_KEY_256_BIT = /^[0-9a-f]{64}$/;

/** Settings of an agent process. */
export const agentSettingsSchema = z.strictObject({
    vmId: identifierSchema,
    rack: identifierSchema,
    dataCentre: identifierSchema,
    kind: endpointKindSchema,
    service: identifierSchema.optional(),
    accelerators: z.number().int().nonnegative().default(0),
    cores: z.number().positive(),
    memoryMb: z.number().positive(),
    /** Base URL of the worker runtime or the executor on this VM. */
    endpointUrl: z.url(),
    /** Key of this process, derived from the deployment key and the VM's name. */
    processKey: z.string().regex(HEX_KEY_256_BIT),
    entries: z.array(entryAddressSchema).min(1),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
}).refine(({ kind, service }) => kind === "worker" || service !== undefined, {
    path: ["service"],
    error: "An executor needs the name of its service.",
});
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
