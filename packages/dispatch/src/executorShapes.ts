import type { Demand } from "@persimmonpitch/workload/step.js";
import type { ExecutorView } from "./dispatchView.js";

/**
 * The properties of an executor that decide which tasks it accepts and how many it holds, with the number of such
 * executors.
 */
export interface ExecutorShape {
    readonly service: string;
    readonly takesWork: boolean;
    readonly labels: readonly string[];
    readonly capacity: Demand;
    readonly count: number;
}

const shapeKey = ({ service, takesWork, labels, capacity }: ExecutorView): string =>
    JSON.stringify([service, takesWork, labels, capacity.milliCores, capacity.memoryMb, capacity.accelerators]);

/** The distinct shapes of the executors. Their number is small and does not grow with the number of executors. */
export const executorShapes = (executors: readonly ExecutorView[]): readonly ExecutorShape[] => {
    const shapes = new Map<string, { readonly executor: ExecutorView; count: number; }>();
    for (const executor of executors) {
        const key = shapeKey(executor);
        const shape = shapes.get(key);
        if (shape === undefined) {
            shapes.set(key, { executor, count: 1 });
        }
        else {
            shape.count += 1;
        }
    }
    return [...shapes.values()].map(({ executor: { service, takesWork, labels, capacity }, count }) => ({
        ...{ service, takesWork, labels, capacity },
        count,
    }));
};
