import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { DispatchView, RunSample } from "./dispatchView.js";
import { type Known, learnSlowness, type SpeedKnowledge } from "./learnSlowness.js";

/** Slowness factors by VM: how many times longer than normal a task takes. VMs of normal speed have no entry. */
export type SlownessByVm = ReadonlyMap<string, number>;

/** A change of the speed class of an executor. A slowness of 1 is normal. */
export interface SpeedChange {
    readonly vm: string;
    readonly before: number;
    readonly after: number;
    /** Summed weight of the observations behind the change. */
    readonly evidence: number;
}

/** Reports of progress arrive about once per second, so learning more often would see nothing new. */
const LEARN_INTERVAL_MS: Millis = 1_000;

/** Interval for each executor of a large cluster, as learning takes longer with more executors. */
const LEARN_INTERVAL_PER_EXECUTOR_MS: Millis = 15;

/** Ended runs kept for each VM. They outnumber the runs that one slow spell touches, so that it changes no class. */
const KEPT_RUNS = 12;

/** Ended runs older than this are dropped. */
const KEPT_MS: Millis = 120_000;

/**
 * What is known of the speeds of executors, kept in memory between passes. A new controller starts without it and learns
 * it again from the progress of the runs.
 */
export class ExecutorSpeeds {
    private readonly ended = new Map<string, RunSample[]>();
    private known: SpeedKnowledge = new Map();
    private factors: SlownessByVm = new Map();
    private learnedAt = -Infinity;

    /** Slowness factors by VM, as of the last update. */
    get slowness(): SlownessByVm {
        return this.factors;
    }

    /** Adds the sample of an ended run. Samples without a run say nothing about executors. */
    add(sample: RunSample): void {
        const { places = [], groupId = "" } = sample.run ?? {};
        for (const { vm } of places) {
            const kept = this.ended.get(vm) ?? [];
            if (kept.at(-1)?.run?.groupId !== groupId) {
                kept.push(sample);
                kept.splice(0, kept.length - KEPT_RUNS);
                this.ended.set(vm, kept);
            }
        }
    }

    /** Drops what is known of a VM, as after a change of its labels or capacity. */
    forget(vm: string): void {
        this.ended.delete(vm);
        this.known = new Map([...this.known].filter(([known]) => known !== vm));
        this.factors = new Map([...this.factors].filter(([known]) => known !== vm));
    }

    /**
     * Learns from the ended runs and the current runs of the view, at most once per second, less often in a large cluster. `now` is on the clock of the
     * samples. Returns the changes.
     */
    update(view: DispatchView, now: Millis): readonly SpeedChange[] {
        const intervalMs = Math.max(LEARN_INTERVAL_MS, LEARN_INTERVAL_PER_EXECUTOR_MS * view.executors.length);
        if (now - this.learnedAt < intervalMs) {
            return [];
        }
        this.learnedAt = now;
        this.dropOld(now);
        const before = this.known;
        this.known = learnSlowness(view, [...this.ended.values()].flat(), before, now);
        const slownessIn = (knowledge: SpeedKnowledge, vm: string): number => knowledge.get(vm)?.slowness ?? 1;
        const changes = [...new Set([...before.keys(), ...this.known.keys()])].flatMap(vm => {
            const change = { vm, before: slownessIn(before, vm), after: slownessIn(this.known, vm) };
            return change.before === change.after ? [] : [{ ...change, evidence: this.known.get(vm)?.evidence ?? 0 }];
        });
        if (changes.length > 0) {
            const isSlow = ([, { slowness }]: readonly [string, Known]): boolean => slowness > 1;
            this.factors = new Map([...this.known].filter(isSlow).map(([vm, { slowness }]) => [vm, slowness]));
        }
        return changes;
    }

    private dropOld(now: Millis): void {
        const isRecent = ({ run }: RunSample): boolean => run !== undefined && now - run.endedAt < KEPT_MS;
        for (const [vm, samples] of this.ended) {
            const recent = samples.filter(isRecent);
            if (recent.length === 0) {
                this.ended.delete(vm);
            }
            else {
                this.ended.set(vm, recent);
            }
        }
    }
}

/** The slowness of the slowest VM, at whose speed a gang runs. */
export const slowestOf = (slowness: SlownessByVm | undefined, vms: readonly string[]): number =>
    slowness === undefined || slowness.size === 0
        ? 1
        : vms.reduce((slowest, vm) => Math.max(slowest, slowness.get(vm) ?? 1), 1);

/** The samples with their run times at normal speed. The members of a gang count at the speed of the slowest one. */
export const atNormalSpeed = (
    samples: readonly RunSample[],
    slowness: SlownessByVm | undefined,
): readonly RunSample[] => {
    if (slowness === undefined || slowness.size === 0) {
        return samples;
    }
    return samples.map(sample => {
        const factor = slowestOf(slowness, sample.run?.places.map(({ vm }) => vm) ?? []);
        return factor === 1 ? sample : { ...sample, actualMs: sample.actualMs / factor };
    });
};
