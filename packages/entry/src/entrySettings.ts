import { objectivesSchema } from "@persimmonpitch/burn/objective.js";
import { operatorSchema } from "@persimmonpitch/schema/configuration.js";
import { identifierSchema } from "@persimmonpitch/schema/identifier.js";
import { z } from "zod";

const portSchema = z.number().int().min(0).max(65_535);

/** Another entry process of the same region. */
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
    /** Where callers and operators reach this process, through the platform's load balancer. */
    http: z.strictObject({ host: z.string().min(1), port: portSchema }),
    /** Where agents and other entries reach this process. */
    inner: z.strictObject({ host: z.string().min(1), port: portSchema }),
    peers: z.array(peerAddressSchema).default([]),
    tableUrl: z.url(),
    /** Key of the deployment, 32 bytes in hexadecimal, from which the keys of all processes are derived. */
    deploymentKey: z.string().regex(/^[0-9a-f]{64}$/),
    /** May load a configuration while there is none; later ones come from the configuration itself. */
    bootstrapOperator: operatorSchema.optional(),
    /** Service-level objectives; the defaults of the burn report apply without them. */
    objectives: objectivesSchema.optional(),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
}).superRefine(({ id, peers }, context) => {
    const known = new Set([id]);
    peers.forEach((peer, index) => {
        if (known.has(peer.id)) {
            const error = `The entry ${peer.id} is named twice.`;
            context.addIssue({ code: "custom", path: ["peers", index, "id"], message: error });
        }
        known.add(peer.id);
    });
});
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
