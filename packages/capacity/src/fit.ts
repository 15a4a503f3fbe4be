import * as z from "zod";

/** A straight line through measured points. */
export const fitSchema = z.object({
    slope: z.number(),
    intercept: z.number(),
    /** Root mean square of the distances of the points from the line, in the unit of the figure. */
    residual: z.number().nonnegative(),
    points: z.number().int().nonnegative(),
});
export type Fit = z.infer<typeof fitSchema>;

/** A measured pair. */
export interface Sample {
    readonly x: number;
    readonly y: number;
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** The least-squares line; points at a single size give a slope of 0. */
export const fitLine = (samples: readonly Sample[]): Fit => {
    if (samples.length === 0) {
        throw new Error("A fit needs at least one point.");
    }
    const meanX = mean(samples.map(({ x }) => x));
    const meanY = mean(samples.map(({ y }) => y));
    const spread = samples.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    const common = samples.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
    const slope = spread === 0 ? 0 : common / spread;
    const intercept = meanY - slope * meanX;
    const residual = Math.sqrt(mean(samples.map(({ x, y }) => (y - intercept - slope * x) ** 2)));
    return { slope, intercept, residual, points: samples.length };
};

/** The value of the line at a size. */
export const valueAt = ({ slope, intercept }: Fit, size: number): number => intercept + slope * size;
