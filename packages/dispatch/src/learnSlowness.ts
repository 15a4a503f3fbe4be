import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Step } from "@persimmonpitch/workload/step.js";
import type { DispatchView, ExecutorView, JobView, RunSample } from "./dispatchView.js";
import { groupBy } from "./groupBy.js";
import { findRunSteps, type RunGroup, runGroups } from "./runGroups.js";

/** What is known of the speed of one VM. */
export interface Known {
    /** How many times longer than normal a task takes: 1, or a multiple of `CLASS_WIDTH`. */
    readonly slowness: number;
    /** Summed weight of the observations. */
    readonly evidence: number;
    readonly observedAt: Millis;
}

/** What is known of the speeds of VMs, by VM. */
export type SpeedKnowledge = ReadonlyMap<string, Known>;

/** The run time of a run or gang and the VMs that it ran on. */
interface Observation {
    readonly stepId: string;
    readonly queue: string;
    readonly declaredMs: Millis;
    readonly logMs: number;
    readonly vms: readonly string[];
    /** 1 for a run that has just begun; less for an old one and for one of an earlier incarnation of the executor. */
    readonly weight: number;
}

/** Expected run time at normal speed, and the standard deviation of run times around it, as logarithms. */
interface Reference {
    readonly logMs: number;
    readonly deviation: number;
}

/** How much slower than its reference an observation is, as a logarithm. */
interface Residual {
    readonly log: number;
    readonly weight: number;
    readonly stepId: string;
}

/** Observations with their groups, which are equal in all rounds. */
interface Observations {
    readonly all: readonly Observation[];
    readonly byStep: ReadonlyMap<string, readonly Observation[]>;
    readonly byQueue: ReadonlyMap<string, readonly Observation[]>;
}

/** Estimates of one round: the logarithm of the slowness of each VM that has observations. */
type Estimates = ReadonlyMap<string, number>;

/** Steps are judged before speeds are known and speeds before steps are, so both are estimated in turn. */
const ROUNDS = 3;

/**
 * The weight of an observation halves in this time, counted from the middle of the run, so that an executor that recovers
 * counts as normal again and a long task weighs less than the runs that ended beside it.
 */
const HALF_LIFE_MS: Millis = 30_000;

/** Weight of a run of an earlier incarnation: a restart may have moved the executor to other hardware. */
const EARLIER_INCARNATION_WEIGHT = 0.5;

/** A rate measured over less is ignored: progress may be in whole percents and is reported once per second. */
const MIN_PERCENT = 10;
const MIN_MEASURED_MS: Millis = 1_500;

/** A step on fewer executors of normal speed is judged by the other runs of its queue. */
const MIN_SIBLINGS = 3;
const MIN_QUEUE_RUNS = 5;

/** Standard deviation of equal tasks on equal executors; an observation with this deviation has full weight. */
const FULL_WEIGHT_DEVIATION = 0.15;

/** Factor from the median absolute deviation to the standard deviation of a normal distribution. */
const DEVIATION_OF_MEDIAN = 1.48;

/**
 * Quantile of the observations of an executor that counts. Long tasks and slow gang members make observations longer and
 * nothing makes them shorter, so most of them must be slow.
 */
const QUANTILE = 0.3;

/** With `QUANTILE`, measures how much run times vary without the long ones. */
const LOW_QUANTILE = 0.1;

/** Distance of the two quantiles of a normal distribution in standard deviations. */
const DEVIATIONS_BETWEEN_QUANTILES = 0.757;

/** Fewer observations, or observations of fewer steps, say nothing. With two steps, two long tasks made an executor slow. */
const MIN_EVIDENCE = 1.5;
const MIN_STEPS = 3;

/** Weight of the assumption that an executor is normal. */
const PRIOR_EVIDENCE = 0.5;

/** A normal executor becomes slow at the first slowness, and a slow one normal below the second. */
const SLOW_FROM = 1.6;
const NORMAL_BELOW = 1.35;

/** Classes are coarse, so that few classes of executors are compared and estimates rarely change. */
const CLASS_WIDTH = 0.5;
const MAX_SLOWNESS = 8;

/** What is known of an executor without new observations is kept for this time. */
const KEPT_MS: Millis = 120_000;

/** Gangs whose residuals differ by less than this from the slowness of another member are explained by that member. */
const EXPLAINED_LOG = Math.log(1.3);

const median = (values: readonly number[]): number =>
    new Float64Array(values).sort()[Math.floor(values.length / 2)] ?? 0;

/** A reference from the fast part of the logarithms. */
const lowReferenceOf = (logs: readonly number[]): Reference => {
    const sorted = new Float64Array(logs).sort();
    const at = (quantile: number): number => sorted[Math.floor(quantile * sorted.length)] ?? 0;
    return { logMs: at(QUANTILE), deviation: (at(QUANTILE) - at(LOW_QUANTILE)) / DEVIATIONS_BETWEEN_QUANTILES };
};

/** Whether the rack of an executor slows the work down, so that the run says nothing about the executor. */
const isSlowedByRack = (step: Step, racks: readonly (string | undefined)[]): boolean =>
    step.isGang && step.isTight && new Set(racks).size > 1
    || step.dataRack !== undefined && racks.some(rack => rack !== step.dataRack);

const weightByAge = (ageMs: Millis): number => 0.5 ** (ageMs / HALF_LIFE_MS);

const isComparable = ({ isLongRunning, usesIdleCores }: Step): boolean => !isLongRunning && !usesIdleCores;

/** Observations of the current runs. The members of a gang progress together, so a gang is one observation. */
const observeGroups = (groups: readonly RunGroup[], executors: readonly ExecutorView[]): readonly Observation[] =>
    groups.flatMap(({ view, stepIndex, step, members }) => {
        const rates = members.flatMap(({ measured }) =>
            measured !== undefined && measured.percent >= MIN_PERCENT && measured.durationMs >= MIN_MEASURED_MS
                ? [measured]
                : []
        );
        const views = members.flatMap(({ executorIndex }) => executors[executorIndex] ?? []);
        if (rates.length < members.length || !isComparable(step) || isSlowedByRack(step, views.map(one => one.rack))) {
            return [];
        }
        return [{
            stepId: `${view.job.jobId} ${stepIndex}`,
            queue: view.queue.name,
            declaredMs: step.declaredMs,
            logMs: Math.log(median(rates.map(({ totalMs }) => totalMs))),
            vms: [...new Set(views.map(({ vm }) => vm))],
            weight: weightByAge(median(rates.map(({ durationMs }) => durationMs)) / 2),
        }];
    });

/** Observations of ended runs whose executors are all in the view. */
const observeEnded = (
    samples: readonly RunSample[],
    executors: ReadonlyMap<string, ExecutorView>,
    now: Millis,
): readonly Observation[] => {
    const byGroup = new Map(samples.map(sample => [sample.run?.groupId ?? "", sample]));
    return [...byGroup.values()].flatMap(({ queue, declaredMs, run }) => {
        const views = run?.places.flatMap(({ vm }) => executors.get(vm) ?? []) ?? [];
        if (run === undefined || views.length < run.places.length) {
            return [];
        }
        const { step, stepId, places, workMs, endedAt } = run;
        if (!isComparable(step) || isSlowedByRack(step, views.map(({ rack }) => rack))) {
            return [];
        }
        const isEarlier = places.some(({ born }, index) => born !== (views[index]?.born ?? born));
        return [{
            ...{ stepId, queue, declaredMs },
            logMs: Math.log(workMs),
            vms: [...new Set(places.map(({ vm }) => vm))],
            weight: weightByAge(now - endedAt + workMs / 2) * (isEarlier ? EARLIER_INCARNATION_WEIGHT : 1),
        }];
    });
};

const slowestIn = (estimates: Estimates, vms: readonly string[]): number =>
    vms.reduce((slowest, vm) => Math.max(slowest, estimates.get(vm) ?? 0), 0);

/**
 * References of the queues: a low quantile of their run times, or the declared time times the same quantile of the errors
 * of declared times, whichever fits better. A median would not do: when a fifth of the executors is slow, two of three
 * gangs of five have a slow member. Without enough runs on normal executors, slow runs count at normal speed.
 */
const queueReferences = (
    { byQueue }: Observations,
    estimates: Estimates,
): ReadonlyMap<string, (observation: Observation) => Reference> =>
    new Map([...byQueue].flatMap(([queue, all]) => {
        const normal = all.filter(({ vms }) => slowestIn(estimates, vms) === 0);
        const used = normal.length >= MIN_QUEUE_RUNS ? normal : all;
        if (used.length < MIN_QUEUE_RUNS) {
            return [];
        }
        const logOf = ({ logMs, vms }: Observation): number => logMs - slowestIn(estimates, vms);
        const constant = lowReferenceOf(used.map(logOf));
        const declared = used.every(({ declaredMs }) => declaredMs > 0)
            ? lowReferenceOf(used.map(one => logOf(one) - Math.log(one.declaredMs)))
            : undefined;
        const reference = ({ declaredMs }: Observation): Reference =>
            declared !== undefined && declaredMs > 0 && declared.deviation < constant.deviation
                ? { logMs: Math.log(declaredMs) + declared.logMs, deviation: declared.deviation }
                : constant;
        return [[queue, reference] as const];
    }));

/**
 * References of the steps that run on enough executors that count as normal, by the median of each executor: most tasks of
 * a step may be on one executor, which would otherwise be compared with itself.
 */
const stepReferences = (
    { byStep }: Observations,
    estimates: Estimates,
): ReadonlyMap<string, Reference> =>
    new Map([...byStep].flatMap(([stepId, all]) => {
        const normal = all.length < MIN_SIBLINGS ? [] : all.filter(({ vms }) => slowestIn(estimates, vms) === 0);
        const byPlace = [...groupBy(normal, ({ vms }) => vms.join(" ")).values()];
        if (byPlace.length < MIN_SIBLINGS) {
            return [];
        }
        const logMs = median(byPlace.map(ofPlace => median(ofPlace.map(one => one.logMs))));
        const deviation = DEVIATION_OF_MEDIAN * median(normal.map(one => Math.abs(one.logMs - logMs)));
        return [[stepId, { logMs, deviation }] as const];
    }));

/** How much an observation counts by how much equal work varies. */
const weightByDeviation = (deviation: number): number =>
    Math.min(1, 2 * FULL_WEIGHT_DEVIATION ** 2 / (FULL_WEIGHT_DEVIATION ** 2 + deviation ** 2));

/** The weight of an observation for each of its VMs; 0 if another VM explains it. */
type WeightOfVm = (vm: string) => number;

/**
 * A slow gang shows that one of its VMs is slow. It says nothing about the others if that one is known, and VMs known as
 * normal leave their shares to the rest. A gang of normal speed shows that all its VMs are normal.
 */
const weightInGang = (
    vms: readonly string[],
    log: number,
    estimates: Estimates,
    normalVms: ReadonlySet<string>,
): WeightOfVm => {
    if (log <= EXPLAINED_LOG || vms.length === 1) {
        return () => 1;
    }
    const explaining = vms.filter(vm => (estimates.get(vm) ?? 0) >= log - EXPLAINED_LOG);
    const [only] = explaining;
    const unknown = vms.reduce((count, vm) => count + Number(!normalVms.has(vm)), 0);
    return vm => {
        const isExplained = explaining.length > 1 || only !== undefined && only !== vm;
        if (isExplained) {
            return 0;
        }
        return 1 / (normalVms.has(vm) || unknown === 0 ? vms.length : unknown);
    };
};

const residualsByVm = (
    observations: Observations,
    estimates: Estimates,
    normalVms: ReadonlySet<string>,
): ReadonlyMap<string, readonly Residual[]> => {
    const queues = queueReferences(observations, estimates);
    const steps = stepReferences(observations, estimates);
    const found = new Map<string, Residual[]>();
    for (const observation of observations.all) {
        const { stepId, vms, logMs } = observation;
        const reference = steps.get(stepId) ?? queues.get(observation.queue)?.(observation);
        if (reference === undefined) {
            continue;
        }
        const log = logMs - reference.logMs;
        const weight = observation.weight * weightByDeviation(reference.deviation);
        const weightOfVm = weightInGang(vms, log, estimates, normalVms);
        for (const vm of vms) {
            const share = weightOfVm(vm);
            if (share === 0) {
                continue;
            }
            const residual = { log, weight: weight * share, stepId };
            const ofVm = found.get(vm);
            if (ofVm === undefined) {
                found.set(vm, [residual]);
            }
            else {
                ofVm.push(residual);
            }
        }
    }
    return found;
};

const evidenceOf = (residuals: readonly Residual[]): number => residuals.reduce((sum, { weight }) => sum + weight, 0);

const weightedQuantile = (residuals: readonly Residual[], quantile: number): number => {
    const sorted = [...residuals].sort((left, right) => left.log - right.log);
    let open = quantile * evidenceOf(residuals);
    for (const { log, weight } of sorted) {
        open -= weight;
        if (open <= 0) {
            return log;
        }
    }
    return sorted.at(-1)?.log ?? 0;
};

/**
 * The logarithm of the slowness of a VM, shrunk towards 0 when it has few observations; 0 unless it is slow, and
 * undefined if it has too few.
 */
const estimateOf = (residuals: readonly Residual[], isKnownSlow: boolean): number | undefined => {
    const evidence = evidenceOf(residuals);
    if (evidence < MIN_EVIDENCE || new Set(residuals.map(({ stepId }) => stepId)).size < MIN_STEPS) {
        return undefined;
    }
    const log = weightedQuantile(residuals, QUANTILE) * evidence / (evidence + PRIOR_EVIDENCE);
    return log >= Math.log(isKnownSlow ? NORMAL_BELOW : SLOW_FROM) ? log : 0;
};

const normalIn = (estimates: Estimates): ReadonlySet<string> =>
    new Set([...estimates].filter(([, log]) => log === 0).map(([vm]) => vm));

const learnedIn = (
    residuals: ReadonlyMap<string, readonly Residual[]>,
    isKnownSlow: (vm: string) => boolean,
): Estimates =>
    new Map([...residuals].flatMap(([vm, all]) => {
        const log = estimateOf(all, isKnownSlow(vm));
        return log === undefined ? [] : [[vm, log] as const];
    }));

/** The class of a slowness; the previous class is kept while the slowness is within its neighbours. */
const classOf = (log: number, previous: number): number => {
    const slowness = Math.min(MAX_SLOWNESS, Math.exp(log));
    if (log === 0 || previous > 1 && Math.abs(slowness - previous) < CLASS_WIDTH) {
        return log === 0 ? 1 : previous;
    }
    return Math.max(1 + CLASS_WIDTH, CLASS_WIDTH * Math.round(slowness / CLASS_WIDTH));
};

/**
 * Learns how much slower than normal each executor is, from ended runs and the progress of current ones. Addresses
 * clusters where some VMs take two or three times as long as others and no report tells which. A run is compared with
 * the other runs of its step, or of its queue if the step has too few. An executor counts as slow only if most runs of
 * several steps are, so that single long tasks, wrong estimates and short slow spells change nothing. The median
 * executor is normal; faster ones count as normal.
 */
export const learnSlowness = (
    { executors, jobs }: Pick<DispatchView, "executors" | "jobs">,
    ended: readonly RunSample[],
    previous: SpeedKnowledge,
    now: Millis,
): SpeedKnowledge => {
    const byId: ReadonlyMap<string, JobView> = new Map(jobs.map(job => [job.job.jobId, job]));
    const byVm = new Map(executors.map(executor => [executor.vm, executor]));
    const groups = runGroups(executors, findRunSteps(executors, byId));
    const all = [...observeGroups(groups, executors), ...observeEnded(ended, byVm, now)];
    const observations: Observations = {
        all,
        byStep: groupBy(all, ({ stepId }) => stepId),
        byQueue: groupBy(all, ({ queue }) => queue),
    };
    const previousOf = (vm: string): number => previous.get(vm)?.slowness ?? 1;
    const known = new Map([...previous].filter(([, { observedAt }]) => now - observedAt < KEPT_MS));
    const kept: Estimates = new Map([...known].map(([vm, { slowness }]) => [vm, Math.log(slowness)]));
    let estimates = kept;
    let learned: Estimates = new Map();
    let residuals: ReadonlyMap<string, readonly Residual[]> = new Map();
    for (let round = 0; round < ROUNDS; round += 1) {
        residuals = residualsByVm(observations, estimates, normalIn(estimates));
        learned = learnedIn(residuals, vm => previousOf(vm) > 1);
        const center = median(executors.map(({ vm }) => learned.get(vm) ?? kept.get(vm) ?? 0));
        learned = new Map([...learned].map(([vm, log]) => [vm, Math.max(0, log - center)]));
        estimates = new Map([...kept, ...learned]);
    }
    for (const [vm, log] of learned) {
        const evidence = evidenceOf(residuals.get(vm) ?? []);
        known.set(vm, { slowness: classOf(log, previousOf(vm)), evidence, observedAt: now });
    }
    return known;
};
