import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { fitLine } from "./fit.js";
import type { Measured, Measurement, Point, Series } from "./measurement.js";

/** Fits each figure over the sizes. */
export const fitPoints = (points: readonly Point[]): Series[] => {
    const figures = new Set(points.flatMap(({ values }) => Object.keys(values)));
    return [...figures].map(figure => ({
        figure,
        fit: fitLine(points.flatMap(({ size, values }) => {
            const y = values[figure];
            return y === undefined ? [] : [{ x: size, y }];
        })),
    }));
};

/** Lengths and sizes of a run. */
export interface RunMode {
    readonly isQuick: boolean;
    readonly note: (text: string) => void;
}

/** Two heartbeats of a worker, so that every stretch holds the same number of them. */
const STRETCH_MS = 10_000;
const QUICK_STRETCH_MS = 500;
const QUICK_SETTLE_SHARE = 0.1;

/** Runs one measurement and fits its figures. */
export const runMeasurement = async (
    name: string,
    { run, sizes, quickSizes, sizeUnit }: Measurement,
    { isQuick, note }: RunMode,
): Promise<Measured> => {
    const points = await run({
        sizes: isQuick ? quickSizes : sizes,
        stretchMs: isQuick ? QUICK_STRETCH_MS : STRETCH_MS,
        settle: ms => systemClock.sleep(isQuick ? ms * QUICK_SETTLE_SHARE : ms),
        note,
    });
    return { name, sizeUnit, points: [...points], series: fitPoints(points) };
};
