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

const ZERO = 48;
const NINE = 57;
const DOT = 46;

/** Parts of a key as `taskKey` writes it; undefined for one of another form. */
export const parseTaskKey = (key: string): TaskPlace | undefined => {
    const numbers = [0, 0, 0] as [number, number, number];
    let part = 0;
    let digits = 0;
    for (let at = 0; at < key.length; at += 1) {
        const code = key.charCodeAt(at);
        if (code >= ZERO && code <= NINE) {
            numbers[part] = (numbers[part] ?? 0) * 10 + code - ZERO;
            digits += 1;
        }
        else if (code === DOT && digits > 0 && part + 1 < numbers.length) {
            part += 1;
            digits = 0;
        }
        else {
            return undefined;
        }
    }
    const [occurrence, step, index] = numbers;
    return part === numbers.length - 1 && digits > 0 ? { occurrence, step, index } : undefined;
};

const LINE_END = /[\n\r\u2028\u2029]/;

/** Parts of the name of a task; undefined for a name of another form. */
export const parseTaskName = (
    name: string,
): (TaskPlace & { readonly jobId: string; readonly key: string; }) | undefined => {
    const indexDot = name.lastIndexOf(".");
    const stepDot = name.lastIndexOf(".", indexDot - 1);
    const occurrenceDot = name.lastIndexOf(".", stepDot - 1);
    const place = parseTaskKey(name.slice(occurrenceDot + 1));
    const jobId = name.slice(0, Math.max(0, occurrenceDot));
    return place === undefined || jobId === "" || LINE_END.test(jobId)
        ? undefined
        : { ...place, jobId, key: taskKey(place) };
};
