import type { LoadRow, PriorityLoad, ServiceLoad } from "./loadRow.js";

/** Changes of a figure by a smaller share are not worth a write. */
const MATERIAL_SHARE = 0.1;

const differs = (left: number, right: number): boolean =>
    Math.abs(left - right) > MATERIAL_SHARE * Math.max(Math.abs(left), Math.abs(right));

type Figures = Readonly<Record<string, number>>;

const priorityFigures = (service: string, { priority, leastValue = 0, ...figures }: PriorityLoad): Figures =>
    Object.fromEntries(
        Object.entries({ ...figures, leastValue }).map(([name, value]) => [`${service}/${priority}/${name}`, value]),
    );

const serviceFigures = (
    { name, totalAccelerators, freeAccelerators, largestExecutor, priorities }: ServiceLoad,
): Figures => ({
    [`${name}/total`]: totalAccelerators,
    [`${name}/free`]: freeAccelerators,
    [`${name}/largest`]: largestExecutor,
    ...Object.assign({}, ...priorities.map(priority => priorityFigures(name, priority))) as Figures,
});

const figuresOf = ({ services }: LoadRow): Figures => Object.assign({}, ...services.map(serviceFigures)) as Figures;

/** Whether a figure of the load differs from the published one by more than a tenth. */
export const isMaterialChange = (published: LoadRow | undefined, current: LoadRow): boolean => {
    if (published === undefined || published.epoch !== current.epoch) {
        return true;
    }
    const before = figuresOf(published);
    const after = figuresOf(current);
    return [...new Set([...Object.keys(before), ...Object.keys(after)])]
        .some(name => differs(before[name] ?? 0, after[name] ?? 0));
};
