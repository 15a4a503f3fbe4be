/** Seeded traces of direct requests: kinds of work, teams of unequal size, bursts, overload. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { WorkClass } from "@persimmonpitch/schema/job.js";

/** Draws numbers in [0, 1). */
export type Random = () => number;

/** A small seeded generator (mulberry32), so that every run of a seed is the same. */
export const seededRandom = (seed: number): Random => {
    let state = seed | 0;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};

/** An exponentially distributed duration. */
export const exponential = (random: Random, mean: Millis): Millis => -Math.log(1 - random()) * mean;

const logNormal = (random: Random, mean: Millis, sigma: number): Millis => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return mean * Math.exp(sigma * normal - sigma ** 2 / 2);
};

/** The kinds of direct requests of section 1 of the design. */
export type DirectKind = "quickRender" | "label" | "lensReading" | "glazePreview";

/** What requests of one kind have in common. */
export interface DirectKindProfile {
    readonly workClass: WorkClass;
    readonly idempotent: boolean;
    /** Share of the requests. */
    readonly share: number;
    readonly meanServiceMs: Millis;
    readonly timeoutMs: Millis;
    readonly requestBytes: number;
    readonly answerBytes: number;
}

export const DIRECT_KINDS: Readonly<Record<DirectKind, DirectKindProfile>> = {
    quickRender: {
        workClass: "interactive",
        idempotent: true,
        share: 0.5,
        meanServiceMs: 150,
        timeoutMs: 2_000,
        requestBytes: 20_000,
        answerBytes: 200_000,
    },
    label: {
        workClass: "interactive",
        idempotent: false,
        share: 0.1,
        meanServiceMs: 60,
        timeoutMs: 5_000,
        requestBytes: 2_000,
        answerBytes: 10_000,
    },
    lensReading: {
        workClass: "standard",
        idempotent: true,
        share: 0.2,
        meanServiceMs: 400,
        timeoutMs: 10_000,
        requestBytes: 50_000,
        answerBytes: 4_000,
    },
    glazePreview: {
        workClass: "bestEffort",
        idempotent: true,
        share: 0.2,
        meanServiceMs: 800,
        timeoutMs: 30_000,
        requestBytes: 20_000,
        answerBytes: 400_000,
    },
};

const KINDS = Object.keys(DIRECT_KINDS) as DirectKind[];

/** The team that asks for less than its fair share and that fair queueing protects. */
export const SMALL_TEAM = "small";

/** Shares of the requests by team: a few teams are large. */
export const TEAM_SHARES: readonly (readonly [team: string, share: number])[] = [
    ["large", 0.55],
    ["second", 0.25],
    ["third", 0.15],
    [SMALL_TEAM, 0.05],
];

/** One request of the trace. */
export interface DirectArrival {
    readonly requestId: string;
    readonly kind: DirectKind;
    readonly team: string;
    /** Time at which the client sends it. */
    readonly at: Millis;
    /** Entry that the load balancer chooses. */
    readonly entry: number;
    /** Time that the request truly needs in a slot. */
    readonly serviceMs: Millis;
}

/** What a trace is made from. */
export interface DirectTraceOptions {
    readonly seed: number;
    readonly durationMs: Millis;
    /** Offered work as a multiple of the work that `slots` can do. */
    readonly load: number;
    readonly slots: number;
    readonly entries: number;
}

/** Spread of the service times around their mean. */
const SERVICE_SIGMA = 0.5;

// A tenth of the time the rate is 3.5 times that of the rest; the mean over a period is 1.
const BURST_PERIOD_MS = 5_000;
const BURST_LENGTH_MS = 500;
const BURST_FACTOR = 2.8;
const QUIET_FACTOR = 0.8;

/** Mean time in a slot over all kinds. */
export const meanServiceMs = (): Millis =>
    KINDS.reduce((sum, kind) => sum + DIRECT_KINDS[kind].share * DIRECT_KINDS[kind].meanServiceMs, 0);

const pickByShare = <T>(items: readonly (readonly [T, number])[], random: number, fallback: T): T => {
    let left = random;
    return items.find(([, share]) => {
        left -= share;
        return left < 0;
    })?.[0] ?? fallback;
};

const KIND_SHARES = KINDS.map(kind => [kind, DIRECT_KINDS[kind].share] as const);

/** Makes the arrivals of one run in order of time. */
export const directTrace = (options: DirectTraceOptions): readonly DirectArrival[] => {
    const random = seededRandom(options.seed);
    const meanGapMs = meanServiceMs() / (options.slots * options.load);
    const arrivals: DirectArrival[] = [];
    let at = 0;
    while (at < options.durationMs) {
        const isBurst = at % BURST_PERIOD_MS < BURST_LENGTH_MS;
        at += exponential(random, meanGapMs / (isBurst ? BURST_FACTOR : QUIET_FACTOR));
        const kind = pickByShare(KIND_SHARES, random(), "glazePreview");
        arrivals.push({
            requestId: `r${arrivals.length}`,
            kind,
            team: pickByShare(TEAM_SHARES, random(), SMALL_TEAM),
            at,
            entry: Math.floor(random() * options.entries),
            serviceMs: logNormal(random, DIRECT_KINDS[kind].meanServiceMs, SERVICE_SIGMA),
        });
    }
    return arrivals;
};
