/** Which task of a job: the copy of the steps, the step and the index in it. */
export interface TaskPlace {
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Key of a task within its job. */
export const taskKey = ({ occurrence, step, index }: TaskPlace): string => `${occurrence}.${step}.${index}`;

/** Name of a task towards executors. */
export const taskName = (jobId: string, key: string): string => `${jobId}.${key}`;

/** Name of one occurrence of a step. */
export const stepName = (jobId: string, occurrence: number, step: number): string => `${jobId}.${occurrence}.${step}`;

const NAME = /^(.+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Parts of the name of a task; undefined for a name of another form. */
export const parseTaskName = (
    name: string,
): (TaskPlace & { readonly jobId: string; readonly key: string; }) | undefined => {
    const [, jobId, occurrence, step, index] = NAME.exec(name) ?? [];
    if (jobId === undefined || occurrence === undefined || step === undefined || index === undefined) {
        return undefined;
    }
    const place = { occurrence: Number(occurrence), step: Number(step), index: Number(index) };
    return { ...place, jobId, key: taskKey(place) };
};
