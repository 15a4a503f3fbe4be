import { objectivesSchema } from "@persimmonpitch/burn/objective.js";
import { operatorSchema } from "@persimmonpitch/schema/configuration.js";
import { identifierSchema } from "@persimmonpitch/schema/identifier.js";
import * as z from "zod";

const portSchema = z.number().int().min(0).max(65_535);

/** Address of another entry of the same region. */
export const peerAddressSchema = z.strictObject({
    id: identifierSchema,
    host: z.string().min(1),
    port: z.number().int().min(1).max(65_535),
});
export type PeerAddress = z.infer<typeof peerAddressSchema>;

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
    id: identifierSchema,
    region: identifierSchema,
    dataCentre: identifierSchema,
    /** Listening address for callers and operators, who connect through the platform's load balancer. */
    http: z.strictObject({ host: z.string().min(1), port: portSchema }),
    /** Listening address for agents and other entries. */
    inner: z.strictObject({ host: z.string().min(1), port: portSchema }),
    peers: z.array(peerAddressSchema).default([]),
    tableUrl: z.url(),
    /** Key of the deployment from which the keys of all processes are derived, as 64 hexadecimal digits. */
    deploymentKey: z.string().regex(/^[0-9a-f]{64}$/),
    /** Operator that may load the first configuration; later operators are those of the configuration in force. */
    bootstrapOperator: operatorSchema.optional(),
    /** Service-level objectives; the burn report uses its defaults without them. */
    objectives: objectivesSchema.optional(),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
}).superRefine(({ id, peers }, context) => {
    const usedIds = new Set([id]);
    peers.forEach((peer, index) => {
        if (usedIds.has(peer.id)) {
            const error = `The entry ${peer.id} is named twice.`;
            context.addIssue({ code: "custom", path: ["peers", index, "id"], message: error });
        }
        usedIds.add(peer.id);
    });
});
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
