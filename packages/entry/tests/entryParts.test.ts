import { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { JobStore } from "@persimmonpitch/scheduler/jobStore.js";
import { configurationBodySchema } from "@persimmonpitch/schema/configuration.js";
import { jobSpecSchema } from "@persimmonpitch/schema/job.js";
import { MemoryTable } from "@persimmonpitch/standins/memoryTable.js";
import t from "tap";
import { ConfigWatch } from "../src/configWatch.js";
import { JobWaiters } from "../src/jobWaiters.js";
import { LeaseGranter } from "../src/leaseGranter.js";

const BODY = configurationBodySchema.parse({ vms: [], teams: [], operators: [] });

// Guards against a grant that outlasts what the holder assumes, or that an older holder renews.
void t.test("leases that an entry may grant", async t => {
    const clock = new FakeClock(1_000);
    let own: number | undefined;
    const granter = new LeaseGranter(clock, () => own);
    const answer = (isHolder: boolean, epoch: number, fullTeams: string[] = []) => ({
        isHolder,
        epoch,
        grantMs: isHolder ? 15_000 : 0,
        configVersion: 1,
        fullTeams,
    });
    const steps: Readonly<Record<string, () => unknown>> = {
        "before any holder is known": () => undefined,
        "a peer that is no holder": () => {
            granter.accept("entry-2", answer(false, 3), 1_000);
        },
        "the holder answers a call sent 400 ms ago": () => {
            granter.accept("entry-2", answer(true, 2, ["alpha"]), 600);
        },
        "an older holder answers": () => {
            granter.accept("entry-3", answer(true, 1), 1_000);
        },
        "4 s pass": () => clock.advance(4_000),
        "the holder gave the role back": () => {
            granter.accept("entry-2", answer(false, 2), 5_000);
        },
        "11 s pass": () => clock.advance(11_000),
        "this entry takes the role": () => {
            own = 3;
        },
        "a newer holder answers": () => {
            granter.accept("entry-3", answer(true, 4), clock.now());
        },
        "this entry has lost the role": () => {
            own = undefined;
        },
    };
    const states: Record<string, unknown> = {};
    for (const [name, step] of Object.entries(steps)) {
        await step();
        const { epoch, grantMs } = granter.grant(1);
        states[name] = { epoch, grantMs, holder: granter.holderId, alphaIsFull: granter.isQueueFull("alpha") };
    }
    t.matchSnapshot(states);
});

// Guards against a configuration that reverts: after a stale read, an outage or the load of another operator.
void t.test("the version in force never falls", async t => {
    const clock = new FakeClock();
    const table = new MemoryTable(clock);
    const [watch, other] = [0, 1].map(() =>
        new ConfigWatch(table, clock, silentLogger, new InvariantMonitor(silentLogger))
    );
    if (watch === undefined || other === undefined) {
        return;
    }
    const applied: number[] = [];
    watch.onChange(({ version }) => applied.push(version));
    const load = (from: ConfigWatch, over: number) => async () => {
        const loaded = await from.load(BODY, over, "operator");
        return loaded.isOk ? loaded.value.version : loaded.error.kind;
    };
    const refresh = async () => (await watch.refresh()).isOk;
    const steps: Readonly<Record<string, () => Promise<unknown>>> = {
        "read before the first load": refresh,
        "first load": load(watch, 0),
        "load over the wrong version": load(watch, 0),
        "load at another entry": load(other, 1),
        read: refresh,
        "stale read": () => {
            table.faults.staleReads = 1;
            return refresh();
        },
        "load after a stale read": () => {
            table.faults.staleReads = 1;
            return load(other, 2)();
        },
        "load that lost a race": load(watch, 2),
        "load whose answer is lost": () => {
            table.faults.loseAnswers = 1;
            return load(watch, 3)();
        },
        "read during an outage": () => {
            table.faults.down = true;
            return refresh();
        },
        "read after the outage": () => {
            table.faults.down = false;
            return refresh();
        },
    };
    const states: Record<string, unknown> = {};
    for (const [name, step] of Object.entries(steps)) {
        states[name] = [await step(), watch.version];
    }
    t.matchSnapshot(states);
    t.same(applied, [...applied].sort((a, b) => a - b));
});

const SPEC = jobSpecSchema.parse({
    team: "alpha",
    workClass: "batch",
    gang: { vms: 1, acceleratorsPerVm: 1 },
    declaredRunMs: 1,
    idempotent: true,
    requestKey: "key",
});

// Guards against a caller that waits past the end of its job or its own timeout, and against a wait that is kept.
void t.test("callers that wait for a job", async t => {
    const clock = new FakeClock();
    const table = new MemoryTable(clock);
    const store = new JobStore(table, clock, "region-1");
    const waiters = new JobWaiters(store, clock);
    await store.accept(SPEC, "j-1");
    const ended: string[] = [];
    const wait = (name: string, timeoutMs: number) => {
        void waiters.wait("j-1", timeoutMs).then(job => {
            ended.push(`${name} at ${clock.now()}: ${job?.record.state ?? "unreadable"}`);
        });
    };
    wait("short", 300);
    wait("none", 0);
    wait("long", 60_000);
    await clock.advance(1_100);
    await store.cancel("j-1");
    waiters.notify("j-1");
    await clock.advance(10);
    wait("after the end", 60_000);
    await clock.advance(10);
    table.faults.down = true;
    wait("during an outage", 2_000);
    await clock.advance(3_000);
    table.faults.down = false;
    await store.accept({ ...SPEC, requestKey: "other" }, "j-2");
    void waiters.wait("j-2", 60_000).then(job => {
        ended.push(`without a notice at ${clock.now()}: ${job?.record.state ?? "unreadable"}`);
    });
    await clock.advance(100);
    await store.cancel("j-2");
    await clock.advance(1_000);
    t.matchSnapshot(ended);
});
