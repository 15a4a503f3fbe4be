/** Position of a task in its job: the occurrence of the steps, the index of the step and the index within the step. */
export interface TaskPosition {
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Returns the key of a task, which is unique within its job. */
export const taskKey = ({ occurrence, step, index }: TaskPosition): string => `${occurrence}.${step}.${index}`;

/** Returns the name of a task that executors are given; it consists of the job ID and the key of the task. */
export const taskName = (jobId: string, key: string): string => `${jobId}.${key}`;

/** Returns the name of one occurrence of a step. */
export const stepName = (jobId: string, occurrence: number, step: number): string => `${jobId}.${occurrence}.${step}`;

const ZERO_CODE = 48;
const NINE_CODE = 57;
const DOT_CODE = 46;

/** Parses a key in the format of `taskKey`; returns undefined for any other text. */
export const parseTaskKey = (key: string): TaskPosition | undefined => {
    const numbers = [0, 0, 0] as [number, number, number];
    let partIndex = 0;
    let digitCount = 0;
    for (let offset = 0; offset < key.length; offset += 1) {
        const code = key.charCodeAt(offset);
        if (code >= ZERO_CODE && code <= NINE_CODE) {
            numbers[partIndex] = (numbers[partIndex] ?? 0) * 10 + code - ZERO_CODE;
            digitCount += 1;
        }
        else if (code === DOT_CODE && digitCount > 0 && partIndex + 1 < numbers.length) {
            partIndex += 1;
            digitCount = 0;
        }
        else {
            return undefined;
        }
    }
    const [occurrence, step, index] = numbers;
    return partIndex === numbers.length - 1 && digitCount > 0 ? { occurrence, step, index } : undefined;
};

const LINE_TERMINATOR = /[\n\r\u2028\u2029]/;

/** Parses the name of a task; returns undefined for any other text. */
export const parseTaskName = (
    name: string,
): (TaskPosition & { readonly jobId: string; readonly key: string; }) | undefined => {
    const indexDot = name.lastIndexOf(".");
    const stepDot = name.lastIndexOf(".", indexDot - 1);
    const occurrenceDot = name.lastIndexOf(".", stepDot - 1);
    const position = parseTaskKey(name.slice(occurrenceDot + 1));
    const jobId = name.slice(0, Math.max(0, occurrenceDot));
    return position === undefined || jobId === "" || LINE_TERMINATOR.test(jobId)
        ? undefined
        : { ...position, jobId, key: taskKey(position) };
};
