import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { isTerminalEvent } from "./terminalEvent.js";

/** What is wrong with the events of one job or request. */
export type TimelineFault =
    | { readonly kind: "gap"; readonly sequence: number; }
    | { readonly kind: "repeated"; readonly sequence: number; }
    | { readonly kind: "open"; }
    | { readonly kind: "afterEnd"; readonly sequence: number; };

/** The events of one job or request, taken in any order; it keeps only their positions. */
export class SubjectTimeline {
    private readonly sequences: number[] = [];
    private readonly ends: number[] = [];

    add({ sequence, event }: HistoryRecord): void {
        this.sequences.push(sequence);
        if (isTerminalEvent(event)) {
            this.ends.push(sequence);
        }
    }

    /** Whether an event ends the job or request. */
    get isEnded(): boolean {
        return this.ends.length > 0;
    }

    /** All faults, in order of position. */
    faults(): readonly TimelineFault[] {
        const sorted = this.sequences.toSorted((a, b) => a - b);
        const order = sorted.flatMap((sequence, index): readonly TimelineFault[] => {
            const previous = index === 0 ? -1 : sorted[index - 1] ?? -1;
            if (sequence === previous) {
                return [{ kind: "repeated", sequence }];
            }
            return sequence > previous + 1 ? [{ kind: "gap", sequence: previous + 1 }] : [];
        });
        const firstEnd = Math.min(...this.ends);
        const late = sorted.filter(sequence => sequence > firstEnd);
        return [
            ...order,
            ...late.map((sequence): TimelineFault => ({ kind: "afterEnd", sequence })),
            ...(this.isEnded ? [] : [{ kind: "open" } as const]),
        ];
    }
}
