import type { Millis } from "@persimmonpitch/clock/clock.js";
import { slotsIn } from "@persimmonpitch/dispatch/demand.js";
import { queueSchema, teamSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { type Demand, type Step, stepSchema } from "@persimmonpitch/workload/step.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import { type Random, seededRandom } from "./random.js";
import { type QueueProfile, type Spread, STEPS_PROFILES, type StepsDeployment } from "./stepsProfile.js";
import type { Day, DayExecutor, DayJob, DayKind } from "./stepsTraceSchema.js";

/** Time in which jobs arrive. */
export const ARRIVALS_MS: Millis = 50_000;

const FAULT_AT_MS: Millis = 34_000;
const EXECUTORS = 11;
const EXECUTORS_PER_RACK = 3;
const SLOWDOWN = 1.3;
const SLOW_SHARE = 1 / 3;
const LABEL = "dye";
const LABEL_SHARE = 0.5;

const RATE_SWING = 0.15;
const RATE_PERIOD_MS: Millis = 11_000;
const BUSY_MS: Millis = 6_000;
const BUSY_FACTOR = 2.3;
const URGENT_BUSY = 0.7;
const MAX_RATE_FACTOR = BUSY_FACTOR * (1 + RATE_SWING);

const MAX_GANG_ACCELERATORS = 4;
const TIGHT_SHARES = [0.6, 0.7, 0.8];
const MAX_ATTEMPTS = 4;

/** A limit per executor spreads the tasks of a step over about this many executors. */
const SPREAD_OVER = 6;

const TEAMS = ["weavers", "dyers", "potters", "glaziers"];
const GUARANTEED = [14, 14, 14, 13];
const LARGE_TEAM_WEIGHT = 3;

const draw = (random: Random, { mean, sigma, most }: Spread): number =>
    Math.min(most, random.logNormal(mean * Math.exp(-(sigma ** 2) / 2), sigma));

const drawCount = (random: Random, spread: Spread): number => Math.max(1, Math.round(draw(random, spread)));

const makeExecutors = (random: Random, capacity: Demand): DayExecutor[] =>
    Array.from({ length: EXECUTORS }, (_, index) => ({
        vm: `vm${index}`,
        rack: `rack${Math.floor(index / EXECUTORS_PER_RACK)}`,
        labels: random.chance(LABEL_SHARE) || index === 0 ? [LABEL] : [],
        rate: random.chance(SLOW_SHARE) ? 1 / SLOWDOWN : 1,
        capacity,
    }));

/** What a bound job names. */
const BOUNDS: readonly ((random: Random, count: number) => Partial<Step>)[] = [
    random => ({ dataRack: `rack${Math.floor(random.uniform() * Math.ceil(EXECUTORS / EXECUTORS_PER_RACK))}` }),
    () => ({ requiredLabel: LABEL }),
    (_, count) => ({ maxPerExecutor: Math.ceil(count / SPREAD_OVER) }),
];

/** What all steps of a job have in common. */
interface JobTraits {
    readonly profile: QueueProfile;
    readonly capacity: Demand;
    readonly accelerators: number;
    readonly hasCheckpoints: boolean;
    readonly isBound: boolean;
    readonly tightShare: number;
}

const makeStep = (random: Random, traits: JobTraits, after: readonly number[], trueMs: Millis): Step => {
    const { profile, capacity, accelerators, hasCheckpoints, isBound, tightShare } = traits;
    const { milliCores, memoryMb } = profile;
    const demand = { accelerators, milliCores, memoryMb };
    const count = drawCount(random, profile.tasks);
    const isGang = count > 1 && accelerators <= MAX_GANG_ACCELERATORS && random.chance(profile.gangs);
    const fitsRack = count <= EXECUTORS_PER_RACK * slotsIn(capacity, demand);
    return stepSchema.parse({
        ...{ count, after, demand, hasCheckpoints, isGang },
        isTight: isGang && fitsRack && random.chance(tightShare),
        declaredMs: random.logNormal(trueMs, profile.declaredSigma),
        ...isBound ? random.pick(BOUNDS)(random, count) : {},
    });
};

const makeJob = (
    random: Random,
    traits: Omit<JobTraits, "accelerators" | "hasCheckpoints" | "isBound">,
    fields: { readonly jobId: string; readonly queue: string; readonly team: string; readonly acceptedAt: Millis; },
): DayJob => {
    const { profile } = traits;
    const drawn = {
        accelerators: random.pick(profile.accelerators),
        hasCheckpoints: random.chance(profile.checkpoints),
        isBound: random.chance(profile.bound),
    };
    const stepCount = random.chance(profile.secondStep) ? 2 : 1;
    const trueMs = Array.from({ length: stepCount }, () => draw(random, profile.runMs));
    const steps = trueMs.map((time, index) =>
        makeStep(random, { ...traits, ...drawn }, index === 0 ? [] : [index - 1], time)
    );
    const isCancelled = random.chance(profile.cancelled);
    const patienceMs = random.uniform() * profile.slackFactor * trueMs.reduce((sum, time) => sum + time, 0);
    return {
        job: { ...fields, payload: "", steps },
        trueMs,
        ...isCancelled ? { cancelAt: fields.acceptedAt + patienceMs } : {},
    };
};

/** Arrivals of a Poisson process whose rate varies: those of the highest rate, thinned. */
const arrivals = (random: Random, ratePerSecond: number, factorAt: (at: Millis) => number): Millis[] => {
    const times: Millis[] = [];
    const meanGapMs = 1_000 / (ratePerSecond * MAX_RATE_FACTOR);
    for (let at = random.exponential(meanGapMs); at < ARRIVALS_MS; at += random.exponential(meanGapMs)) {
        if (random.chance(factorAt(at) / MAX_RATE_FACTOR)) {
            times.push(at);
        }
    }
    return times;
};

const teamDraw = (random: Random): () => string => {
    const largeTeams = random.chance(0.5) ? 1 : 2;
    const lots = TEAMS.flatMap((team, index) =>
        Array.from({ length: index < largeTeams ? LARGE_TEAM_WEIGHT : 1 }, () => team)
    );
    return () => random.pick(lots);
};

const makeJobs = (random: Random, deployment: StepsDeployment): DayJob[] => {
    const { queues, capacity } = STEPS_PROFILES[deployment];
    const names = Object.keys(queues);
    const urgent = names.filter(name => queues[name]?.priority === 0);
    const busyQueue = random.pick(random.chance(URGENT_BUSY) ? urgent : names);
    const busyFrom = random.uniform() * (ARRIVALS_MS - BUSY_MS);
    const tightShare = random.pick(TIGHT_SHARES);
    const pickTeam = teamDraw(random);
    const phase = random.uniform() * 2 * Math.PI;
    const jobs = Object.entries(queues).flatMap(([queue, profile]) => {
        const factorAt = (at: Millis): number => {
            const isBusy = queue === busyQueue && at >= busyFrom && at < busyFrom + BUSY_MS;
            const swing = 1 + RATE_SWING * Math.sin(phase + 2 * Math.PI * at / RATE_PERIOD_MS);
            return swing * (isBusy ? BUSY_FACTOR : 1);
        };
        return arrivals(random, profile.rate, factorAt).map((acceptedAt, index) =>
            makeJob(random, { profile, capacity, tightShare }, {
                ...{ jobId: `${queue}${index}`, queue, team: pickTeam(), acceptedAt },
            })
        );
    });
    return jobs.sort((left, right) => left.job.acceptedAt - right.job.acceptedAt);
};

/** Makes the day of a seed; the kinds of day differ only in their faults. */
export const makeDay = (deployment: StepsDeployment, seed: number, kind: DayKind): Day => {
    const random = seededRandom(seed);
    const { queues, capacity, checkpointIntervalMs, restoreMs, reclaimMs } = STEPS_PROFILES[deployment];
    return {
        ...{ deployment, seed },
        timings: timingsSchema.parse({ checkpointIntervalMs, restoreMs, reclaimMs }),
        queues: Object.entries(queues).map(([name, { priority, slackFactor, targetLatencyMs }]) =>
            queueSchema.parse({
                ...{ name, priority, slackFactor, targetLatencyMs, maxAttempts: MAX_ATTEMPTS },
                ...{ host: "", pathPrefix: "", service: "desk" },
            })
        ),
        teams: TEAMS.map((name, index) => teamSchema.parse({ name, guaranteedAccelerators: GUARANTEED[index] })),
        executors: makeExecutors(random, capacity),
        jobs: makeJobs(random, deployment),
        ...kind === "fault" ? { faultAt: FAULT_AT_MS } : {},
    };
};
