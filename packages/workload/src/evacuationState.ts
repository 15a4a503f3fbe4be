import * as z from "zod";

/** The data centres that the operator has evacuated, as of a version of the operator table. */
export const evacuationStateSchema = z.object({
    version: z.number().int().nonnegative(),
    dataCentres: z.array(z.string()),
});
export type EvacuationState = z.infer<typeof evacuationStateSchema>;
