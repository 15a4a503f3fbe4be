import * as z from "zod";
import { fitSchema } from "./fit.js";

/** What was measured at one size. */
export const pointSchema = z.object({ size: z.number().nonnegative(), values: z.record(z.string(), z.number()) });
export type Point = z.infer<typeof pointSchema>;

/** One figure of a measurement with its fit over the sizes. */
export const seriesSchema = z.object({ figure: z.string(), fit: fitSchema });
export type Series = z.infer<typeof seriesSchema>;

/** All that one measurement found. */
export const measuredSchema = z.object({
    name: z.string(),
    sizeUnit: z.string(),
    points: z.array(pointSchema),
    series: z.array(seriesSchema),
});
export type Measured = z.infer<typeof measuredSchema>;

/** How a measurement runs. */
export interface RunOptions {
    readonly sizes: readonly number[];
    /** Length of each stretch over which processor time and bytes are counted, in milliseconds. */
    readonly stretchMs: number;
    /** Waits until a change has settled, for so long in a full run and shorter in a quick one. */
    readonly settle: (ms: number) => Promise<void>;
    /** Tells how far the run is. */
    readonly note: (text: string) => void;
}

/** One measurement; the figure names end with their unit. */
export interface Measurement {
    readonly description: string;
    readonly sizeUnit: string;
    readonly sizes: readonly number[];
    /** Tiny sizes for a fast run that checks that everything works. */
    readonly quickSizes: readonly number[];
    /** Reads the processor time or the heap of the command itself, so nothing else may run at the same time. */
    readonly runsAlone?: boolean;
    readonly run: (options: RunOptions) => Promise<readonly Point[]>;
}

/** Measures one size after another, so that no measurement disturbs the next. */
export const eachSize = (
    measure: (size: number, options: RunOptions) => Promise<Readonly<Record<string, number>>>,
): Measurement["run"] =>
async options => {
    const points: Point[] = [];
    for (const size of options.sizes) {
        points.push({ size, values: { ...await measure(size, options) } });
        options.note(`  size ${size} done`);
    }
    return points;
};
