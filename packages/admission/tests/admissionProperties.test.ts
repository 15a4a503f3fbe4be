import { formatSnapshot } from "@persimmonpitch/snapshots/formatSnapshot.js";
import { queueSchema } from "@persimmonpitch/workload/clusterConfig.js";
import { submissionSchema } from "@persimmonpitch/workload/stepJob.js";
import fc from "fast-check";
import t from "tap";
import type { AdmissionView } from "../src/admissionDecision.js";
import { decideAdmission, MAX_FORECAST_AGE_MS } from "../src/admissionDecision.js";
import { jobWorkOf, valuePerWork } from "../src/jobWork.js";
import type { LoadRow } from "../src/loadRow.js";
import { encodeLoadRow, loadRowSchema, MAX_LOAD_ROW_BYTES } from "../src/loadRow.js";
import { RefusalQuota } from "../src/refusalQuota.js";

t.formatSnapshot = formatSnapshot;

const SEED = 20_612;
const RUNS = 3_000;
const NOW = 1_000_000;

const priorityLoad = fc.record({
    running: fc.integer({ min: 0, max: 20_000 }),
    waiting: fc.integer({ min: 0, max: 200_000 }),
    hopeless: fc.integer({ min: 0, max: 1_000 }),
    guaranteed: fc.integer({ min: 0, max: 100 }),
    pathMs: fc.integer({ min: 0, max: 20_000 }),
    leastValue: fc.option(fc.double({ min: 0, max: 0.2, noNaN: true }), { nil: undefined, freq: 1 }),
});

const loadRow = fc.record({
    ageMs: fc.integer({ min: 0, max: 5_000 }),
    services: fc.array(
        fc.record({
            totalAccelerators: fc.integer({ min: 0, max: 600 }),
            freeAccelerators: fc.constantFrom(0, 0, 3, 40),
            largestExecutor: fc.constantFrom(4, 8, 8),
            priorities: fc.array(priorityLoad, { maxLength: 4 }),
        }),
        { maxLength: 2 },
    ),
}).map(({ ageMs, services }): LoadRow => ({
    epoch: 1,
    at: NOW - ageMs,
    services: services.map((service, index) => ({
        ...service,
        name: `s${index}`,
        priorities: service.priorities.map(({ leastValue, ...load }, priority) => ({
            ...load,
            priority,
            ...(leastValue === undefined ? {} : { leastValue }),
        })),
    })),
}));

const submission = fc.array(
    fc.record({
        count: fc.integer({ min: 1, max: 60 }),
        declaredMs: fc.constantFrom(0, 500, 4_000, 15_000, 60_000),
        demand: fc.record({ accelerators: fc.constantFrom(0, 1, 1, 4, 8) }),
        isLongRunning: fc.constantFrom(false, false, false, true),
    }),
    { minLength: 1, maxLength: 3 },
).map(steps => submissionSchema.parse({ payload: "", steps }));

const admissionView = fc.record({
    now: fc.constant(NOW),
    forecast: loadRow,
    entries: fc.integer({ min: 1, max: 13 }),
    queue: fc.record({
        priority: fc.integer({ min: 0, max: 9 }),
        slackFactor: fc.constantFrom(0, 1.5, 3, 5),
        targetLatencyMs: fc.constantFrom(0, 300, 3_000),
    }).map(input => queueSchema.parse({ ...input, name: "q", host: "", pathPrefix: "", service: "s0" })),
    submission,
    accepted: fc.array(
        fc.record({
            service: fc.constantFrom("s0", "s0", "s1"),
            priority: fc.integer({ min: 0, max: 3 }),
            accelerators: fc.integer({ min: 0, max: 80 }),
            acceleratorSeconds: fc.integer({ min: 0, max: 2_000 }),
            at: fc.integer({ min: NOW - 6_000, max: NOW }),
        }),
        { maxLength: 3 },
    ),
    isWithinGuarantee: fc.constantFrom(() => true, () => false, () => false),
});

const check = (holds: (view: AdmissionView & { readonly forecast: LoadRow; }) => boolean): void => {
    fc.assert(fc.property(admissionView, holds), { seed: SEED, numRuns: RUNS });
};

const isRefused = (view: AdmissionView): boolean => decideAdmission(view).kind === "refuse";

// Guards against generated views that make the other properties hold without a refusal.
void t.test("generated views lead to refusals for each reason and to acceptances", t => {
    const kinds = new Set(
        fc.sample(admissionView, { seed: SEED, numRuns: RUNS }).map(view => {
            const decision = decideAdmission(view);
            return `${decision.kind} ${decision.reason}`;
        }),
    );
    t.matchSnapshot([...kinds].sort());
    t.end();
});

// Guards against refusals while accelerators are free.
void t.test("a job that fits free capacity is accepted", t => {
    check(view => {
        const { forecast, queue, submission: job, accepted, entries } = view;
        const service = forecast.services.find(({ name }) => name === queue.service);
        const taken = accepted
            .filter(({ at, service: name }) => at > forecast.at && name === queue.service)
            .reduce((sum, { accelerators }) => sum + accelerators, 0);
        const free = (service?.freeAccelerators ?? 0) - entries * taken;
        return jobWorkOf(job, 0).accelerators > free || !isRefused(view);
    });
    t.end();
});

// Guards against a refusal that costs callers more than that of a job which was accepted.
void t.test("nothing is refused while accepted work of less value that has not started waits", t => {
    check(view => {
        const { forecast, queue, submission: job, accepted } = view;
        const service = forecast.services.find(({ name }) => name === queue.service);
        const typicalMs = service?.priorities.find(({ priority }) => priority === queue.priority)?.pathMs ?? 0;
        const value = valuePerWork(queue.priority, jobWorkOf(job, typicalMs).acceleratorSeconds);
        const waiting = [
            ...service?.priorities.flatMap(({ leastValue }) => leastValue ?? []) ?? [],
            ...accepted
                .filter(({ at, service: name }) => at > forecast.at && name === queue.service)
                .map(({ priority, acceleratorSeconds }) => valuePerWork(priority, acceleratorSeconds)),
        ];
        return !waiting.some(one => one < value) || !isRefused(view);
    });
    t.end();
});

// Guards against a refusal of capacity that a team was promised.
void t.test("a job within the guarantee of its team is never refused", t => {
    check(view => !isRefused({ ...view, isWithinGuarantee: () => true }));
    t.end();
});

// Guards against refusals by a forecast that nobody updates.
void t.test("without a row, or with one older than five seconds, every job is accepted", t => {
    check(view => {
        const at = view.now - MAX_FORECAST_AGE_MS - 1;
        const future = view.now + MAX_FORECAST_AGE_MS + 1;
        return [undefined, { ...view.forecast, at }, { ...view.forecast, at: future }]
            .every(forecast => !isRefused({ ...view, forecast }));
    });
    t.end();
});

// Guards against a refusal of a job that could end in time: less load must never turn an acceptance into a refusal.
void t.test("a job that is accepted stays accepted with less work ahead of it", t => {
    check(view => {
        const lighter = {
            ...view.forecast,
            services: view.forecast.services.map(service => ({
                ...service,
                priorities: service.priorities.map(load => ({ ...load, running: 0, waiting: 0 })),
            })),
        };
        return isRefused(view) || !isRefused({ ...view, forecast: lighter });
    });
    t.end();
});

// Guards against a wrong forecast that closes a queue.
void t.test("at most half of the submissions of a queue are refused within ten seconds", t => {
    fc.assert(
        fc.property(
            fc.array(fc.record({ gapMs: fc.integer({ min: 0, max: 3_000 }), wants: fc.boolean() }), { maxLength: 80 }),
            steps => {
                const quota = new RefusalQuota();
                let now = 0;
                const decided: { readonly second: number; readonly isRefused: boolean; }[] = [];
                return steps.every(({ gapMs, wants }) => {
                    now += gapMs;
                    const isDecidedRefused = quota.record("q", wants, now);
                    const second = Math.floor(now / 1_000);
                    decided.push({ second, isRefused: isDecidedRefused });
                    const recent = decided.filter(one => one.second > second - 10);
                    const refused = recent.filter(one => one.isRefused).length;
                    return !isDecidedRefused || (wants && refused <= recent.length / 2);
                });
            },
        ),
        { seed: SEED, numRuns: RUNS },
    );
    t.end();
});

// Guards against a row that the store refuses, and one that entries cannot read.
void t.test("an encoded row can be read and stays within its size limit", t => {
    fc.assert(
        fc.property(fc.array(loadRow, { minLength: 1, maxLength: 40 }), rows => {
            const services = rows.flatMap((row, index) =>
                row.services.map(service => ({ ...service, name: `${"n".repeat(100)}${index}${service.name}` }))
            );
            const encoded = encodeLoadRow({ epoch: 1, at: NOW, services });
            return Buffer.byteLength(encoded) <= MAX_LOAD_ROW_BYTES
                && loadRowSchema.safeParse(JSON.parse(encoded)).success;
        }),
        { seed: SEED, numRuns: 200 },
    );
    t.end();
});
