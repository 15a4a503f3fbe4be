/** Replays direct requests on simulated time through the routing decisions, and measures goodput. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RoutedRequest } from "@persimmonpitch/routing/directRequest.js";
import type { LoadReport } from "@persimmonpitch/routing/endpointView.js";
import type { AttemptOutcome, RoutingOptions } from "@persimmonpitch/routing/serviceRouter.js";
import { DEFAULT_ROUTING_OPTIONS, ServiceRouter } from "@persimmonpitch/routing/serviceRouter.js";
import type { DirectArrival, DirectKind, Random } from "./directTrace.js";
import { DIRECT_KINDS, directTrace, exponential, seededRandom, SMALL_TEAM } from "./directTrace.js";

/** Delays of one deployment, one way (section 3 of the design). */
export interface DirectDeployment {
    readonly betweenDataCentresMs: Millis;
    readonly fromClientsMs: Millis;
}

export const DIRECT_DEPLOYMENTS = {
    cooperative: { betweenDataCentresMs: 5, fromClientsMs: 3 },
    lentesud: { betweenDataCentresMs: 3.5, fromClientsMs: 1 },
} as const satisfies Readonly<Record<string, DirectDeployment>>;

/** How entries choose. `routing` is the real code; the others are baselines with an unbounded queue at each executor. */
export type DirectPolicy = "routing" | "randomFifo" | "roundRobin";

/** What a replay is made from. */
export interface DirectReplayOptions {
    readonly seed: number;
    readonly load: number;
    readonly durationMs: Millis;
    readonly deployment: keyof typeof DIRECT_DEPLOYMENTS;
    readonly policy: DirectPolicy;
    /** Whether answers and refusals carry the executor's load, besides the report of every second. */
    readonly loadWithAnswers: boolean;
    readonly routing: RoutingOptions;
}

export const DEFAULT_DIRECT_REPLAY_OPTIONS: DirectReplayOptions = {
    seed: 1,
    load: 3,
    durationMs: 60_000,
    deployment: "cooperative",
    policy: "routing",
    loadWithAnswers: true,
    routing: DEFAULT_ROUTING_OPTIONS,
};

/** One measure of a replay; a row without a bound informs only. */
export interface DirectRow {
    readonly measure: string;
    readonly value: number;
    readonly bound: string;
    readonly ok: boolean;
}

const SERVICE = "render";
const ENTRIES = 4;
const EXECUTORS = 11;
const SLOTS = 8;
const CONNECTIONS = 64;
const REPORT_INTERVAL_MS = 1_000;
const SWEEP_INTERVAL_MS = 100;
const WITHIN_DATA_CENTRE_MS = 0.25;
const JITTER_SHARE = 0.2;
/** Packets lost between data centres; TCP sends them again after its shortest timeout. */
const LOSS_SHARE = 0.005;
const RETRANSMISSION_MS = 200;
/** The failing executor answers fast, which draws load to it unless it is taken out. */
const FAILING_EXECUTOR = 0;
const FAILURE_MS = 5;
const LEAVING_EXECUTOR = 7;
/** The failing executor does no useful work, and one leaves after half of the time. */
const USABLE_EXECUTORS = EXECUTORS - 1.5;
/** An endpoint that is leaving receives no new work after 3 s (I6). */
const LEAVING_GRACE_MS = 3_000;
/** Part of the timeout within which a refusal counts as early. */
const EARLY_SHARE = 0.5;

interface Event {
    readonly at: Millis;
    readonly order: number;
    readonly run: () => void;
}

/** A plain event loop on simulated time. */
class EventLoop {
    now: Millis = 0;
    private order = 0;
    private readonly heap: Event[] = [];

    after(delay: Millis, run: () => void): void {
        this.order += 1;
        this.heap.push({ at: this.now + delay, order: this.order, run });
        this.siftUp(this.heap.length - 1);
    }

    runUntil(end: Millis): void {
        for (let event = this.heap[0]; event !== undefined && event.at <= end; event = this.heap[0]) {
            this.removeFirst();
            this.now = event.at;
            event.run();
        }
        this.now = end;
    }

    private removeFirst(): void {
        const last = this.heap.pop();
        if (last !== undefined && this.heap.length > 0) {
            this.heap[0] = last;
            this.siftDown(0);
        }
    }

    private siftUp(start: number): void {
        for (let child = start, parent = (child - 1) >> 1; child > 0 && this.isBefore(child, parent);) {
            this.swap(child, parent);
            child = parent;
            parent = (child - 1) >> 1;
        }
    }

    private siftDown(start: number): void {
        for (let parent = start;;) {
            const first = [2 * parent + 1, 2 * parent + 2].reduce(
                (best, child) => this.isBefore(child, best) ? child : best,
                parent,
            );
            if (first === parent) {
                return;
            }
            this.swap(first, parent);
            parent = first;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const a = this.heap[left];
        const b = this.heap[right];
        return a !== undefined && b !== undefined && (a.at < b.at || (a.at === b.at && a.order < b.order));
    }

    private swap(left: number, right: number): void {
        const a = this.heap[left];
        const b = this.heap[right];
        if (a !== undefined && b !== undefined) {
            this.heap[left] = b;
            this.heap[right] = a;
        }
    }
}

/** What the client was told. */
type Outcome = "answered" | "refused" | "failed";

interface RequestRecord {
    readonly arrival: DirectArrival;
    attempts: number;
    busyRefusals: number;
    bytesBetweenDataCentres: number;
    executions: number;
    usefulMs: Millis;
    outcome?: Outcome;
    /** Time from sending to the outcome, as the client sees it. */
    elapsedMs: Millis;
}

interface Counters {
    sentAfterLeaving: number;
}

/** The links between clients, entries and executors. */
class Network {
    constructor(
        private readonly loop: EventLoop,
        private readonly random: Random,
        private readonly deployment: DirectDeployment,
    ) {}

    betweenVms(from: number, to: number, deliver: () => void): void {
        if (from === to) {
            this.loop.after(this.withJitter(WITHIN_DATA_CENTRE_MS), deliver);
            return;
        }
        const retransmissionMs = this.random() < LOSS_SHARE ? RETRANSMISSION_MS : 0;
        this.loop.after(this.withJitter(this.deployment.betweenDataCentresMs) + retransmissionMs, deliver);
    }

    toOrFromClient(deliver: () => void): void {
        this.loop.after(this.withJitter(this.deployment.fromClientsMs), deliver);
    }

    private withJitter(delay: Millis): Millis {
        return delay + exponential(this.random, delay * JITTER_SHARE);
    }
}

type Load = Omit<LoadReport, "at">;

type Reply = (outcome: AttemptOutcome, load: Load) => void;

/** An executor with its agent. */
class Executor {
    readonly dataCentre: number;
    readonly vmId: string;
    running = 0;
    leavingSince = Infinity;
    private readonly backlog: (() => void)[] = [];

    constructor(readonly index: number, private readonly loop: EventLoop, private readonly queues: boolean) {
        this.dataCentre = index % ENTRIES;
        this.vmId = `executor${index}`;
    }

    receive(record: RequestRecord, reply: Reply): void {
        if (this.loop.now >= this.leavingSince) {
            reply("leaving", this.load());
        }
        else if (this.running < SLOTS) {
            this.start(record, reply);
        }
        else if (this.queues) {
            this.backlog.push(() => {
                this.start(record, reply);
            });
        }
        else {
            reply("busy", this.load());
        }
    }

    load(): Load {
        return { inFlight: this.running, connections: this.running };
    }

    private start(record: RequestRecord, reply: Reply): void {
        const fails = this.index === FAILING_EXECUTOR;
        this.running += 1;
        record.executions += 1;
        this.loop.after(fails ? FAILURE_MS : record.arrival.serviceMs, () => {
            this.running -= 1;
            record.usefulMs = fails ? 0 : record.arrival.serviceMs;
            reply(fails ? "failed" : "answered", this.load());
            this.backlog.shift()?.();
        });
    }
}

/** What an entry does with requests and with news from executors. */
interface Entry {
    submit(record: RequestRecord): void;
    report(executor: Executor, load: Load): void;
    leaving(executor: Executor): void;
    sweep(): void;
}

/** What entries have in common: the links and the way back to the client. */
class Surroundings {
    readonly executors: readonly Executor[];
    readonly counters: Counters = { sentAfterLeaving: 0 };
    readonly network: Network;

    constructor(readonly loop: EventLoop, readonly random: Random, readonly options: DirectReplayOptions) {
        const queues = options.policy !== "routing";
        this.network = new Network(loop, random, DIRECT_DEPLOYMENTS[options.deployment]);
        this.executors = Array.from({ length: EXECUTORS }, (unused, index) => new Executor(index, loop, queues));
    }

    /** Sends one attempt and hands back its end. */
    attempt(entry: number, executor: Executor, record: RequestRecord, ended: Reply): void {
        const { requestBytes, answerBytes } = DIRECT_KINDS[record.arrival.kind];
        record.attempts += 1;
        if (this.loop.now > executor.leavingSince + LEAVING_GRACE_MS) {
            this.counters.sentAfterLeaving += 1;
        }
        const isCrossing = entry !== executor.dataCentre;
        record.bytesBetweenDataCentres += isCrossing ? requestBytes : 0;
        this.network.betweenVms(entry, executor.dataCentre, () => {
            executor.receive(record, (outcome, load) => {
                record.bytesBetweenDataCentres += isCrossing && outcome === "answered" ? answerBytes : 0;
                record.busyRefusals += outcome === "busy" ? 1 : 0;
                this.network.betweenVms(executor.dataCentre, entry, () => {
                    ended(outcome, load);
                });
            });
        });
    }

    tellClient(record: RequestRecord, outcome: Outcome): void {
        this.network.toOrFromClient(() => {
            record.outcome = outcome;
            record.elapsedMs = this.loop.now - record.arrival.at;
        });
    }
}

/** An entry that uses the routing package. */
class RoutingEntry implements Entry {
    private readonly router: ServiceRouter;
    private readonly records = new Map<string, RequestRecord>();

    constructor(private readonly index: number, private readonly around: Surroundings) {
        this.router = new ServiceRouter(SERVICE, dataCentreName(index), around.loop.now, around.options.routing);
        around.executors.forEach(({ vmId, dataCentre }) => {
            this.router.announce({
                vmId,
                dataCentre: dataCentreName(dataCentre),
                service: SERVICE,
                slots: SLOTS,
                connections: CONNECTIONS,
            });
        });
    }

    submit(record: RequestRecord): void {
        const { now } = this.around.loop;
        const { arrival } = record;
        const { workClass, idempotent, timeoutMs } = DIRECT_KINDS[arrival.kind];
        // The answer needs as long to the client as the request took, and the client counts both.
        const travelMs = 4 * DIRECT_DEPLOYMENTS[this.around.options.deployment].fromClientsMs;
        const request: RoutedRequest = {
            requestId: arrival.requestId,
            team: arrival.team,
            workClass,
            idempotent,
            deadline: now + timeoutMs - travelMs,
            tried: new Set(),
            mayHaveRun: false,
        };
        if (this.router.submit(request, now).kind === "shed") {
            this.around.tellClient(record, "refused");
            return;
        }
        this.records.set(arrival.requestId, record);
        this.dispatch();
    }

    report(executor: Executor, load: Load): void {
        this.router.report(executor.vmId, { ...load, at: this.around.loop.now });
        this.dispatch();
    }

    leaving(executor: Executor): void {
        this.router.setState(executor.vmId, "leaving", this.around.loop.now);
    }

    sweep(): void {
        this.router.removeExpired(this.around.loop.now).forEach(({ request }) => {
            this.refuse(request);
        });
    }

    private dispatch(): void {
        const { loop, random } = this.around;
        for (
            let step = this.router.nextStep(loop.now, [random(), random()]);
            step.kind !== "idle";
            step = this.router.nextStep(loop.now, [random(), random()])
        ) {
            if (step.kind === "shed") {
                this.refuse(step.request);
            }
            else {
                this.send(step.request, step.endpoint.vmId);
            }
        }
    }

    private send(request: RoutedRequest, vmId: string): void {
        const { executors, loop } = this.around;
        const executor = executors.find(other => other.vmId === vmId);
        const record = this.records.get(request.requestId);
        if (executor === undefined || record === undefined) {
            throw new Error(`no executor ${vmId} or record ${request.requestId}`);
        }
        const sentAt = loop.now;
        this.around.attempt(this.index, executor, record, (outcome, load) => {
            const verdict = this.router.attemptEnded(request, vmId, outcome, sentAt, loop.now);
            if (this.around.options.loadWithAnswers) {
                this.router.report(vmId, { ...load, at: loop.now });
            }
            if (verdict.kind === "final") {
                this.finish(request, outcome === "answered" ? "answered" : "failed");
            }
            if (verdict.kind === "shed") {
                this.refuse(request);
            }
            this.dispatch();
        });
    }

    private refuse(request: RoutedRequest): void {
        this.finish(request, request.mayHaveRun ? "failed" : "refused");
    }

    private finish({ requestId }: RoutedRequest, outcome: Outcome): void {
        const record = this.records.get(requestId);
        if (record !== undefined) {
            this.records.delete(requestId);
            this.around.tellClient(record, outcome);
        }
    }
}

/** An entry that sends each request at once to an executor, which queues it without bound. */
class QueueingEntry implements Entry {
    private readonly left = new Set<Executor>();

    constructor(
        private readonly index: number,
        private readonly around: Surroundings,
        private readonly choose: (executors: readonly Executor[]) => Executor | undefined,
    ) {}

    submit(record: RequestRecord): void {
        const executor = this.choose(this.around.executors.filter(other => !this.left.has(other)));
        if (executor === undefined) {
            this.around.tellClient(record, "refused");
            return;
        }
        this.around.attempt(this.index, executor, record, outcome => {
            if (outcome === "leaving") {
                this.leaving(executor);
                this.submit(record);
                return;
            }
            this.around.tellClient(record, outcome === "answered" ? "answered" : "failed");
        });
    }

    // The baselines know no load.
    report(): void {
        return;
    }

    leaving(executor: Executor): void {
        this.left.add(executor);
    }

    sweep(): void {
        return;
    }
}

const dataCentreName = (index: number): string => `dc${index}`;

const roundRobin = () => {
    let next = 0;
    return (executors: readonly Executor[]) => {
        next += 1;
        return executors[next % executors.length];
    };
};

const ENTRY_OF: { readonly [K in DirectPolicy]: (index: number, around: Surroundings) => Entry; } = {
    routing: (index, around) => new RoutingEntry(index, around),
    randomFifo: (index, around) =>
        new QueueingEntry(index, around, executors => executors[Math.floor(around.random() * executors.length)]),
    roundRobin: (index, around) => new QueueingEntry(index, around, roundRobin()),
};

const startReports = (around: Surroundings, entries: readonly Entry[]): void => {
    const { loop, network, executors } = around;
    executors.forEach(executor => {
        const report = () => {
            const load = executor.load();
            entries.forEach((entry, index) => {
                network.betweenVms(executor.dataCentre, index, () => {
                    entry.report(executor, load);
                });
            });
            loop.after(REPORT_INTERVAL_MS, report);
        };
        loop.after(around.random() * REPORT_INTERVAL_MS, report);
    });
    entries.forEach(entry => {
        const sweep = () => {
            entry.sweep();
            loop.after(SWEEP_INTERVAL_MS, sweep);
        };
        loop.after(SWEEP_INTERVAL_MS, sweep);
    });
};

const startLeaving = (around: Surroundings, entries: readonly Entry[], at: Millis): void => {
    const executor = around.executors[LEAVING_EXECUTOR];
    around.loop.after(at, () => {
        if (executor === undefined) {
            return;
        }
        executor.leavingSince = around.loop.now;
        entries.forEach((entry, index) => {
            around.network.betweenVms(executor.dataCentre, index, () => {
                entry.leaving(executor);
            });
        });
    });
};

/** What happened in one replay, to the requests that arrived in the measured time. */
export interface DirectResult {
    readonly records: readonly RequestRecord[];
    readonly counters: Readonly<Counters>;
    /** Work of the answers that came within their deadline and within the measured time. */
    readonly usefulMs: Millis;
    /** Time that healthy slots were there to use. */
    readonly capacityMs: Millis;
}

/** Runs one replay. */
export const replayDirect = (options: DirectReplayOptions): DirectResult => {
    const loop = new EventLoop();
    const around = new Surroundings(loop, seededRandom(options.seed + 1_000_003), options);
    const entries = Array.from({ length: ENTRIES }, (unused, index) => ENTRY_OF[options.policy](index, around));
    // Arrivals go on after the measured time, so that the requests of its end wait under the same load as the others.
    const runMs = options.durationMs + longestTimeoutMs();
    const trace = directTrace({ ...options, durationMs: runMs, slots: USABLE_EXECUTORS * SLOTS, entries: ENTRIES });
    const records = trace.map((arrival): RequestRecord => ({
        arrival,
        attempts: 0,
        busyRefusals: 0,
        bytesBetweenDataCentres: 0,
        executions: 0,
        usefulMs: 0,
        elapsedMs: Infinity,
    }));
    startReports(around, entries);
    startLeaving(around, entries, options.durationMs / 2);
    records.forEach(record => {
        loop.after(record.arrival.at, () => {
            around.network.toOrFromClient(() => entries[record.arrival.entry]?.submit(record));
        });
    });
    loop.runUntil(runMs);
    return {
        records: records.filter(({ arrival }) => arrival.at < options.durationMs),
        counters: around.counters,
        usefulMs: usefulMs(records.filter(({ arrival, elapsedMs }) => arrival.at + elapsedMs < options.durationMs)),
        capacityMs: USABLE_EXECUTORS * SLOTS * options.durationMs,
    };
};

const longestTimeoutMs = (): Millis => Math.max(...Object.values(DIRECT_KINDS).map(({ timeoutMs }) => timeoutMs));

const timeoutOf = (record: RequestRecord): Millis => DIRECT_KINDS[record.arrival.kind].timeoutMs;

const isInTime = (record: RequestRecord): boolean =>
    record.outcome === "answered" && record.elapsedMs <= timeoutOf(record);

const isToldEarly = (record: RequestRecord): boolean =>
    record.outcome === "refused" && record.executions === 0 && record.elapsedMs <= timeoutOf(record) * EARLY_SHARE;

const sumOf = (records: readonly RequestRecord[], valueOf: (record: RequestRecord) => number): number =>
    records.reduce((sum, record) => sum + valueOf(record), 0);

const usefulMs = (records: readonly RequestRecord[]): Millis =>
    sumOf(records.filter(isInTime), record => record.usefulMs);

const share = (part: number, whole: number): number => whole === 0 ? 1 : part / whole;

/** The value below which the given share of the values lies. */
const quantile = (values: readonly number[], portion: number): number =>
    [...values].sort((a, b) => a - b)[Math.max(0, Math.ceil(values.length * portion) - 1)] ?? 0;

const informs = (measure: string, value: number): DirectRow => ({ measure, value, bound: "", ok: true });

const atMost = (measure: string, value: number, bound: number): DirectRow => ({
    measure,
    value,
    bound: `<= ${bound}`,
    ok: value <= bound,
});

const atLeast = (measure: string, value: number, bound: number): DirectRow => ({
    measure,
    value,
    bound: `>= ${bound}`,
    ok: value >= bound,
});

const MIN_GOODPUT_SHARE = 0.9;
const OVERLOAD = 3;

const kindInTime = (records: readonly RequestRecord[], kind: DirectKind): number => {
    const own = records.filter(({ arrival }) => arrival.kind === kind);
    return share(own.filter(isInTime).length, own.length);
};

/** The measures of one replay with the bounds of section 12 and of the invariants. */
export const measureDirect = (result: DirectResult, { load }: DirectReplayOptions): readonly DirectRow[] => {
    const { records, counters } = result;
    const goodput = result.usefulMs / result.capacityMs;
    const renders = records.filter(({ arrival }) => arrival.kind === "quickRender");
    // Every render that was not refused early counts as accepted; one that got no answer counts as infinitely late.
    const accepted = renders.filter(record => !isToldEarly(record));
    const elapsed = accepted.map(record => record.outcome === "answered" ? record.elapsedMs : Infinity);
    const small = records.filter(({ arrival }) => arrival.team === SMALL_TEAM);
    const missed = records.filter(record => !isInTime(record));
    const attempts = sumOf(records, record => record.attempts);
    const retried = sumOf(records, record => Math.max(0, record.attempts - 1));
    return [
        load >= OVERLOAD
            ? atLeast("goodput, share of capacity", goodput, MIN_GOODPUT_SHARE)
            : informs("goodput, share of capacity", goodput),
        atMost("accepted quick renders, p99, ms", quantile(elapsed, 0.99), DIRECT_KINDS.quickRender.timeoutMs),
        informs("quick renders answered in time, share", kindInTime(records, "quickRender")),
        informs("labels answered in time, share", kindInTime(records, "label")),
        informs("lens readings answered in time, share", kindInTime(records, "lensReading")),
        informs("glaze previews answered in time, share", kindInTime(records, "glazePreview")),
        informs("missed requests refused early, share", share(missed.filter(isToldEarly).length, missed.length)),
        atMost(
            "refusals of requests that had run",
            records.filter(({ outcome, executions }) => outcome === "refused" && executions > 0).length,
            0,
        ),
        atMost(
            "non-idempotent requests that ran twice",
            records.filter(({ arrival, executions }) => !DIRECT_KINDS[arrival.kind].idempotent && executions > 1)
                .length,
            0,
        ),
        atMost("requests sent to a leaving executor after 3 s", counters.sentAfterLeaving, 0),
        informs("retries, share of attempts", share(retried, attempts)),
        informs("busy refusals, share of attempts", share(sumOf(records, record => record.busyRefusals), attempts)),
        informs("lens readings of the small team answered in time, share", kindInTime(small, "lensReading")),
        informs("bytes between data centres, MB", sumOf(records, record => record.bytesBetweenDataCentres) / 1e6),
    ];
};

/** Runs one replay and returns its measures. */
export const directRows = (options: Partial<DirectReplayOptions> = {}): readonly DirectRow[] => {
    const complete = { ...DEFAULT_DIRECT_REPLAY_OPTIONS, ...options };
    return measureDirect(replayDirect(complete), complete);
};

/** Ideas that are compared, each switched off or changed alone, and the baselines. */
export const DIRECT_VARIANTS: Readonly<Record<string, Partial<DirectReplayOptions>>> = {
    "all ideas": {},
    "without least loaded of two": {
        routing: {
            ...DEFAULT_ROUTING_OPTIONS,
            choice: { ...DEFAULT_ROUTING_OPTIONS.choice, leastLoadedOfTwo: false },
        },
    },
    "without fair queueing": {
        routing: { ...DEFAULT_ROUTING_OPTIONS, queue: { ...DEFAULT_ROUTING_OPTIONS.queue, fairOverTeams: false } },
    },
    "without minimum share": {
        routing: { ...DEFAULT_ROUTING_OPTIONS, queue: { ...DEFAULT_ROUTING_OPTIONS.queue, minimumShare: 0 } },
    },
    "minimum share 5%": {
        routing: { ...DEFAULT_ROUTING_OPTIONS, queue: { ...DEFAULT_ROUTING_OPTIONS.queue, minimumShare: 0.05 } },
    },
    "without deadline shedding": {
        routing: {
            ...DEFAULT_ROUTING_OPTIONS,
            admission: { ...DEFAULT_ROUTING_OPTIONS.admission, deadlineShedding: false },
        },
    },
    "without own data centre first": {
        routing: {
            ...DEFAULT_ROUTING_OPTIONS,
            choice: { ...DEFAULT_ROUTING_OPTIONS.choice, ownDataCentreFirst: false },
        },
    },
    "without load in answers": { loadWithAnswers: false },
    "random choice, unbounded FIFO": { policy: "randomFifo" },
    "round robin, unbounded FIFO": { policy: "roundRobin" },
};

/** One measure of one variant over several seeds. */
export interface DirectComparisonRow {
    readonly variant: string;
    readonly load: number;
    readonly measure: string;
    readonly mean: number;
    readonly least: number;
    readonly most: number;
}

/** Runs every variant at every load over the seeds. */
export const compareDirect = (
    seeds: readonly number[],
    loads: readonly number[],
    durationMs: Millis,
): readonly DirectComparisonRow[] =>
    Object.entries(DIRECT_VARIANTS).flatMap(([variant, options]) =>
        loads.flatMap(load => {
            const runs = seeds.map(seed => directRows({ ...options, seed, load, durationMs }));
            return (runs[0] ?? []).map(({ measure }, index) => {
                const values = runs.map(rows => rows[index]?.value ?? 0);
                return {
                    variant,
                    load,
                    measure,
                    mean: values.reduce((sum, value) => sum + value, 0) / values.length,
                    least: Math.min(...values),
                    most: Math.max(...values),
                };
            });
        })
    );
