import * as z from "zod";

/** How near the members of a gang must be to one another, from nearest to farthest. */
export const adjacencySchema = z.enum(["vm", "rack", "dataCentre", "any"]);
export type Adjacency = z.infer<typeof adjacencySchema>;

const MAX_GANG_VMS = 64;
const MAX_ACCELERATORS_PER_VM = 64;

/** The shape of a gang: every member runs on a VM of its own and needs the same resources. */
export const gangShapeSchema = z.strictObject({
    vms: z.number().int().min(1).max(MAX_GANG_VMS),
    acceleratorsPerVm: z.number().int().min(0).max(MAX_ACCELERATORS_PER_VM),
    adjacency: adjacencySchema.default("any"),
    coresPerVm: z.number().nonnegative().default(0),
    memoryMbPerVm: z.number().nonnegative().default(0),
});
export type GangShape = z.infer<typeof gangShapeSchema>;
