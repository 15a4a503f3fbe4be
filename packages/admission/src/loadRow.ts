import * as z from "zod";

/** Jobs of higher priority numbers are counted with this one, which bounds the size of the row. */
export const LAST_PRIORITY_CLASS = 7;

/** Upper bound of the encoded row. */
export const MAX_LOAD_ROW_BYTES = 8_192;

/** Accepted work of one priority that has not ended. Work is in accelerator-seconds. */
export const priorityLoadSchema = z.object({
    priority: z.number().int().min(0).max(LAST_PRIORITY_CLASS),
    /** Remaining work of runs in progress. */
    running: z.number().nonnegative(),
    /** Work without a run that may still earn its value. */
    waiting: z.number().nonnegative(),
    /** Work without a run that ends too late to earn anything, or that no known executor can run. */
    hopeless: z.number().nonnegative(),
    /** Accelerators that the guarantees of teams hold. */
    guaranteed: z.number().nonnegative(),
    /** Mean length of the critical path of the jobs. */
    pathMs: z.number().nonnegative(),
    /** Least value per accelerator-second of the jobs that have not started and may still earn their value. */
    leastValue: z.number().nonnegative().optional(),
});
export type PriorityLoad = z.infer<typeof priorityLoadSchema>;

/** Accelerators and accepted work of one service. */
export const serviceLoadSchema = z.object({
    name: z.string(),
    totalAccelerators: z.number().nonnegative(),
    freeAccelerators: z.number().nonnegative(),
    /** Accelerators of the largest executor. */
    largestExecutor: z.number().nonnegative(),
    priorities: z.array(priorityLoadSchema),
});
export type ServiceLoad = z.infer<typeof serviceLoadSchema>;

/** The load of the cluster as the controller publishes it. A service that is not listed is not known. */
export const loadRowSchema = z.object({
    /** Epoch of the controller that wrote the row. */
    epoch: z.number().int().positive(),
    /** Time of the summary, by the clock of the store. */
    at: z.number(),
    services: z.array(serviceLoadSchema),
});
export type LoadRow = z.infer<typeof loadRowSchema>;

const workOf = ({ priorities }: ServiceLoad): number =>
    priorities.reduce((sum, { running, waiting }) => sum + running + waiting, 0);

/**
 * Encodes the row within its size limit. If it is too large, the services with the least work are left out, for which
 * every job is then accepted.
 */
export const encodeLoadRow = (row: LoadRow): string => {
    const services = [...row.services].sort((left, right) => workOf(right) - workOf(left));
    for (;;) {
        const encoded = JSON.stringify({ ...row, services });
        if (Buffer.byteLength(encoded) <= MAX_LOAD_ROW_BYTES || services.length === 0) {
            return encoded;
        }
        services.pop();
    }
};
