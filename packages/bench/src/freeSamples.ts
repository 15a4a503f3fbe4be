import type { WantedShape } from "./fragmentation.js";
import { sampleFragmentation } from "./fragmentation.js";
import type { TimedSample } from "./replayResult.js";
import type { ReplayState } from "./replayState.js";

/** Samples of fragmentation, one for each placement pass. */
export class FreeSamples {
    readonly taken: TimedSample[] = [];

    constructor(private readonly state: ReplayState) {}

    /** Free accelerators until the next pass, against the shapes of waiting jobs and of unused guarantees. */
    sample(): void {
        const { now, cluster, trace: { lengthMs } } = this.state;
        const previous = this.taken.at(-1);
        if (previous !== undefined) {
            this.taken[this.taken.length - 1] = { ...previous, untilAt: Math.min(now, lengthMs) };
        }
        if (now < lengthMs) {
            const sample = sampleFragmentation(cluster.views(), this.wanted());
            this.taken.push({ ...sample, at: now, untilAt: lengthMs });
        }
    }

    private wanted(): WantedShape[] {
        const wanted = new Map<string, { readonly shape: WantedShape["shape"]; gangs: number; }>();
        const add = (shape: WantedShape["shape"], gangs: number) => {
            const key = `${shape.vms}x${shape.acceleratorsPerVm} ${shape.adjacency}`;
            const entry = wanted.get(key) ?? { shape, gangs: 0 };
            entry.gangs += gangs;
            wanted.set(key, entry);
        };
        for (const { spec } of this.state.waiting.values()) {
            add(spec.gang, 1);
        }
        const used = new Map<string, number>();
        for (const { trace: { spec: { team } } } of this.state.guaranteed) {
            used.set(team, (used.get(team) ?? 0) + 1);
        }
        for (const { team, shape, count } of this.state.trace.deployment.guarantees) {
            const unused = Math.max(0, count - (used.get(team) ?? 0));
            if (unused > 0) {
                add(shape, unused);
            }
        }
        return [...wanted.values()];
    }
}
