import * as z from "zod";

/** Faults that a test can cause. */
export const stepExecutorFaultsSchema = z.object({
    /** Connections are refused, as by a partition that resets them; the runs go on until the lease ends. */
    refusesConnections: z.boolean(),
    /** No call is answered or has an effect. */
    silent: z.boolean(),
    /** Number of next orders that are not answered and are carried out later. */
    unansweredOrders: z.number().int().nonnegative(),
    /** How much later, in milliseconds; 0 carries them out at once. */
    orderDelayMs: z.number().nonnegative(),
    /**
     * Orders carried out later reach the next incarnation if the executor has restarted by then, as on a connection that
     * a partition holds up; an order whose sender gives up on it is lost.
     */
    ordersOutliveRestart: z.boolean(),
    /** Every run fails soon after its start. */
    failAll: z.boolean(),
    /** Lists have no measurements. */
    measuresNothing: z.boolean(),
    /** No run makes progress. */
    standsStill: z.boolean(),
    /** Work takes this many times as long. */
    slowFactor: z.number().positive(),
});
export type StepExecutorFaults = z.infer<typeof stepExecutorFaultsSchema>;

/** An executor without faults. */
export const NO_FAULTS: StepExecutorFaults = {
    refusesConnections: false,
    silent: false,
    unansweredOrders: 0,
    orderDelayMs: 0,
    ordersOutliveRestart: false,
    failAll: false,
    measuresNothing: false,
    standsStill: false,
    slowFactor: 1,
};
