import { makeTrace } from "./trace.js";
import type { Trace } from "./traceSchema.js";

/** Enough batches and previews to take all accelerators for the whole trace. */
const SATURATION = { batch: 2.2, bestEffort: 3.5 };
const RENDER_HOURS = 1;

/** The same quick renders alone, and with batches and previews that saturate the Cooperative. */
export const makeRenderTraces = (
    seed: number,
    hours = RENDER_HOURS,
): { readonly alone: Trace; readonly saturated: Trace; } => {
    const saturated = makeTrace({
        deployment: "cooperative",
        seed,
        hours,
        loadFactors: { urgent: 0, standard: 0, ...SATURATION },
        calm: true,
    });
    const jobs = saturated.jobs.filter(({ spec }) => spec.workClass === "interactive");
    return { alone: { ...saturated, jobs }, saturated };
};
