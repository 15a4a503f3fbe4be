import type { Guarantee } from "@persimmonpitch/schema/configuration.js";
import type { Adjacency, GangShape } from "@persimmonpitch/schema/gang.js";
import type { WorkClass } from "@persimmonpitch/schema/job.js";
import type { Random } from "./random.js";
import { seededRandom } from "./random.js";
import { gangShape, makeDeployment } from "./traceDeployments.js";
import { makeFaults } from "./traceFaults.js";
import type { Deployment, DeploymentName, Trace, TraceJob } from "./traceSchema.js";
import type { ClassProfile, ShapeChoice } from "./traceWork.js";
import { WORK_PROFILES } from "./traceWork.js";

export const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

/** One standard deviation of the logarithm of a declared size or run time: a factor of 4. */
const DECLARATION_SIGMA = Math.log(4);
/** The part of the run-time error that a team repeats in all its jobs, and that can therefore be learned. */
const TEAM_SIGMA = Math.log(2);
const JOB_SIGMA = Math.sqrt(DECLARATION_SIGMA ** 2 - TEAM_SIGMA ** 2);
/** Declarations err towards too long: callers fear to be stopped. */
const DECLARATION_MEDIAN = 1.5;

const BURST_SHARE = 0.35;
const BURST_SPREAD_MS = 20_000;
const NEVER_FITS_SHARE = 0.005;
const FAILS_ALWAYS_SHARE = 0.005;
const MIN_RUN_MS = 1_000;

/** Waves of cancellations: when (as a share of the length) and how likely each job of the team is cancelled. */
const CANCELLATION_WAVES = [{ at: 0.3, chance: 0.4 }, { at: 0.8, chance: 0.4 }];
/** Only jobs submitted shortly before a wave are cancelled by it. */
const CANCELLATION_REACH_SHARE = 0.1;
/** When all teams claim all that they are guaranteed. */
const RECLAIM_ALL_AT = 0.62;
const RECLAIM_RUN_MS = 10 * 60_000;
/** Running tasks of the plan when its trace begins. */
const PLAN_TASKS_AT_START = 4_500;

/** Options of the trace generator. */
export interface TraceOptions {
    readonly deployment: DeploymentName;
    readonly seed: number;
    readonly hours?: number;
    /** Factor on the load of each class; 0 leaves the class out. */
    readonly loadFactors?: Readonly<Partial<Record<WorkClass, number>>>;
    /** Without faults, cancellations, jobs that can never run, and the reclaim by all teams. */
    readonly calm?: boolean;
}

/** Trace lengths in hours: the replay of the plan costs more per hour. */
export const DEFAULT_HOURS: Readonly<Record<DeploymentName, number>> = { cooperative: 8, lentesud: 8, plan: 3 };

const sizeOf = ({ vms, acceleratorsPerVm }: Pick<GangShape, "vms" | "acceleratorsPerVm">): number =>
    vms * acceleratorsPerVm;

/** Number of accelerators that a gang needs. */
export const gangSize = sizeOf;

interface Draft {
    readonly submitAt: number;
    readonly team: string;
    readonly shape: GangShape;
    readonly workClass: WorkClass;
    readonly trueRunMs: number;
    readonly profile: ClassProfile;
    readonly failsAlways?: boolean;
}

const chooseShape = (random: Random, shapes: readonly ShapeChoice[]): ShapeChoice => {
    const total = shapes.reduce((sum, { weight }) => sum + weight, 0);
    let rest = random.uniform() * total;
    return shapes.find(({ weight }) => (rest -= weight) < 0) ?? random.pick(shapes);
};

/** The shape of the class that is nearest to a wrongly declared size. */
const misdeclare = (random: Random, needed: ShapeChoice, shapes: readonly ShapeChoice[]): ShapeChoice => {
    const wanted = sizeOf(needed) * random.logNormal(1, DECLARATION_SIGMA / 2);
    const distance = (shape: ShapeChoice) => Math.abs(Math.log(sizeOf(shape) / wanted));
    return shapes.reduce((best, shape) => distance(shape) < distance(best) ? shape : best, needed);
};

const toGangShape = ({ vms }: Deployment, { vms: members, acceleratorsPerVm, adjacency }: ShapeChoice): GangShape => {
    const vm = vms[0];
    if (vm === undefined) {
        throw new RangeError("a deployment needs at least one VM");
    }
    return gangShape(vm, members, acceleratorsPerVm, adjacency);
};

class Generator {
    readonly drafts: Draft[] = [];
    private readonly teamBias = new Map<string, number>();
    private readonly guaranteeOf = new Map<string, Guarantee>();

    constructor(
        private readonly random: Random,
        private readonly deployment: Deployment,
        private readonly lengthMs: number,
        private readonly calm: boolean,
    ) {
        for (const { id } of deployment.teams) {
            this.teamBias.set(id, random.logNormal(DECLARATION_MEDIAN, TEAM_SIGMA));
        }
        for (const guarantee of deployment.guarantees) {
            this.guaranteeOf.set(guarantee.team, guarantee);
        }
    }

    /** Adds jobs of one class until its demand is met. */
    addClass(workClass: WorkClass, profile: ClassProfile, factor: number): void {
        const capacity = this.deployment.vms.reduce((sum, { accelerators }) => sum + accelerators, 0);
        const bursts = Array.from({ length: profile.bursts }, () => this.random.uniform() * this.lengthMs);
        const { load, jobsPerDay } = profile;
        const wantedTime = load === undefined ? Infinity : load * factor * capacity * this.lengthMs;
        const wantedJobs = jobsPerDay === undefined ? Infinity : jobsPerDay * factor * this.lengthMs / DAY_MS;
        let time = 0;
        for (let jobs = 0; time < wantedTime && jobs < wantedJobs; jobs += 1) {
            const draft = this.draft(workClass, profile, this.arrival(bursts));
            this.drafts.push(draft);
            time += sizeOf(draft.shape) * draft.trueRunMs;
        }
    }

    /** Adds one urgent job for each guaranteed instance, all within a second. */
    addReclaimByAll(profile: ClassProfile): void {
        for (const guarantee of this.deployment.guarantees) {
            for (let instance = 0; instance < guarantee.count; instance += 1) {
                this.drafts.push({
                    submitAt: this.lengthMs * RECLAIM_ALL_AT + this.random.uniform() * 1_000,
                    team: guarantee.team,
                    shape: guarantee.shape,
                    workClass: "urgent",
                    trueRunMs: this.random.logNormal(RECLAIM_RUN_MS, 0.5),
                    profile,
                });
            }
        }
    }

    /** Adds long jobs at the start, part of which is already done, until `tasks` tasks run. */
    addWarmStart(profile: ClassProfile, tasks: number): void {
        for (let used = 0; used < tasks;) {
            const draft = this.draft("batch", profile, this.random.uniform() * 1_000);
            used += draft.shape.vms;
            this.drafts.push({ ...draft, trueRunMs: Math.max(MIN_RUN_MS, draft.trueRunMs * this.random.uniform()) });
        }
    }

    /** The jobs in order of submission. */
    jobs(): TraceJob[] {
        return this.drafts
            .sort((a, b) => a.submitAt - b.submitAt)
            .map((draft, index) => this.toJob(draft, `j${index}`));
    }

    private arrival(bursts: readonly number[]): number {
        const at = this.random.chance(BURST_SHARE)
            ? this.random.pick(bursts) + this.random.exponential(BURST_SPREAD_MS)
            : this.random.uniform() * this.lengthMs;
        return Math.min(at, this.lengthMs);
    }

    private draft(workClass: WorkClass, profile: ClassProfile, submitAt: number): Draft {
        const team = this.random.pick(this.deployment.teams).id;
        const trueRunMs = Math.min(
            profile.maxRunMs,
            Math.max(MIN_RUN_MS, this.random.logNormal(profile.medianRunMs, profile.sigma)),
        );
        const base = { submitAt, team, workClass, trueRunMs, profile };
        const guarantee = this.guaranteeOf.get(team);
        if (workClass === "urgent" && guarantee !== undefined) {
            return { ...base, shape: guarantee.shape };
        }
        if (!this.calm && workClass === "batch" && this.random.chance(NEVER_FITS_SHARE)) {
            return { ...base, shape: toGangShape(this.deployment, NEVER_FITS) };
        }
        const needed = chooseShape(this.random, profile.shapes);
        const declared = misdeclare(this.random, needed, profile.shapes);
        // Too few accelerators make the work longer; more than needed do not make it shorter.
        const stretch = Math.max(1, sizeOf(needed) / sizeOf(declared));
        return {
            ...base,
            shape: toGangShape(this.deployment, declared),
            trueRunMs: Math.min(profile.maxRunMs, trueRunMs * stretch),
            failsAlways: !this.calm && this.random.chance(FAILS_ALWAYS_SHARE),
        };
    }

    private toJob(
        { submitAt, team, shape, workClass, trueRunMs, profile, failsAlways }: Draft,
        jobId: string,
    ): TraceJob {
        const bias = this.teamBias.get(team) ?? 1;
        const neededBy = profile.slackMs === undefined
            ? undefined
            : Math.round(submitAt + trueRunMs + this.random.logNormal(profile.slackMs, 0.5));
        const cancelAt = this.cancelAt(submitAt, team);
        return {
            jobId,
            submitAt: Math.round(submitAt),
            trueRunMs: Math.round(trueRunMs),
            failsAlways: failsAlways ?? false,
            ...cancelAt === undefined ? {} : { cancelAt },
            spec: {
                team,
                workClass,
                gang: shape,
                declaredRunMs: Math.max(MIN_RUN_MS, Math.round(trueRunMs * bias * this.random.logNormal(1, JOB_SIGMA))),
                ...neededBy === undefined ? {} : { neededBy },
                idempotent: profile.idempotent,
                checkpointable: this.random.chance(profile.checkpointable),
                requestKey: jobId,
                payload: "",
            },
        };
    }

    private cancelAt(submitAt: number, team: string): number | undefined {
        const { teams } = this.deployment;
        const wave = CANCELLATION_WAVES.findIndex(({ at, chance }, index) => {
            const since = at * this.lengthMs - submitAt;
            const isInReach = since > 0 && since < CANCELLATION_REACH_SHARE * this.lengthMs;
            return isInReach && teams.findIndex(({ id }) => id === team) % CANCELLATION_WAVES.length === index
                && this.random.chance(chance);
        });
        const found = CANCELLATION_WAVES[wave];
        return found === undefined || this.calm ? undefined : Math.round(found.at * this.lengthMs);
    }
}

/** More VMs in one rack than any rack has. */
const NEVER_FITS: ShapeChoice = { vms: 12, acceleratorsPerVm: 8, adjacency: "rack" satisfies Adjacency, weight: 0 };

/** Generates a trace; equal options give equal traces. */
export const makeTrace = ({ deployment: name, seed, hours, loadFactors, calm }: TraceOptions): Trace => {
    const random = seededRandom(seed);
    const deployment = makeDeployment(name);
    const lengthMs = (hours ?? DEFAULT_HOURS[name]) * HOUR_MS;
    const profiles = WORK_PROFILES[name];
    const generator = new Generator(random, deployment, lengthMs, calm === true);
    for (const workClass of ["urgent", "interactive", "standard", "batch", "bestEffort"] as const) {
        generator.addClass(workClass, profiles[workClass], loadFactors?.[workClass] ?? 1);
    }
    if (calm !== true) {
        generator.addReclaimByAll(profiles.urgent);
    }
    if (name === "plan") {
        generator.addWarmStart(profiles.batch, PLAN_TASKS_AT_START);
    }
    const faults = calm === true ? [] : makeFaults(random, deployment, lengthMs);
    return { deployment, jobs: generator.jobs(), faults, lengthMs };
};
