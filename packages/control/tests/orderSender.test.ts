import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { timingsSchema } from "@persimmonpitch/workload/timings.js";
import t from "tap";
import type { AdviceCache } from "../src/adviceCache.js";
import type { AgentConnection } from "../src/agentTask.js";
import type { ControllerContext } from "../src/controllerContext.js";
import { EvacuationHolder } from "../src/evacuationHolder.js";
import type { ExecutorState, TrackedRun } from "../src/executorState.js";
import { OrderSender } from "../src/orderSender.js";
import { Reconciler } from "../src/reconciler.js";
import { restoreCluster } from "./clusterStateFixture.js";

const KEY = "0.0.0";
const DEMAND = { milliCores: 1, memoryMb: 0, accelerators: 0 };
const INFO = { executorId: "x1", born: 1, service: "steps", dataCentre: "west", isDraining: false, labels: [] };

/** An order sender with one durable claim on an executor, and a record of the orders that it sends. */
class Fixture {
    readonly orders: OrderSender;
    readonly calls: string[] = [];
    readonly state: ExecutorState;
    readonly tracked: TrackedRun;
    readonly evacuation = new EvacuationHolder(silentLogger);
    readonly lease = { isValid: true };
    readonly reconciler: Reconciler;
    readonly restored = restoreCluster([{ count: 1, demand: DEMAND }], {});

    constructor() {
        const { cluster, openJob, clock } = this.restored;
        this.evacuation.replaceIfNewer({ version: 1, dataCentres: [] });
        this.state = cluster.getOrAddExecutor("vm1", "x1");
        Object.assign(this.state, { info: { ...INFO, capacity: DEMAND }, isAttached: true, born: 1 });
        this.state.controllerLeaseEndMs = 1_000;
        this.tracked = cluster.claim(openJob, KEY, 1, this.state);
        this.tracked.isClaimDurable = true;
        const jobs = { byId: new Map([["a", openJob]]), remove: () => undefined };
        const connection = {
            call: (method: string) => {
                this.calls.push(method);
                return new Promise<never>(() => undefined);
            },
        };
        this.orders = new OrderSender({
            cluster,
            advice: { ticketFor: () => undefined } as unknown as AdviceCache,
            jobs: jobs as never,
            context: { clock, logger: silentLogger, evacuation: this.evacuation } as unknown as ControllerContext,
            epoch: 1,
            controllerLease: this.lease,
            onRenewalNeeded: () => undefined,
            connectionOf: () => connection as unknown as AgentConnection,
            onChanged: () => undefined,
        });
        this.reconciler = new Reconciler({
            cluster,
            jobs: jobs as never,
            orders: this.orders,
            clock,
            takenAt: 0,
            timings: timingsSchema.parse({}),
            onJobRemoved: () => undefined,
        });
    }
}

const WAYS: Readonly<Record<string, (fixture: Fixture) => void>> = {
    "a claim that is durable": ({ orders, tracked }) => {
        orders.start(tracked);
    },
    "a start that waited for a renewal": ({ orders, tracked, state }) => {
        tracked.isAwaitingRenewal = true;
        orders.sendDeferredStarts(state);
    },
    "a start that was not sent before a reconnection": ({ orders, state }) => {
        orders.resendOrders(state);
    },
};

// Guards against a way to send a start that does not check the evacuation, for example because the executor reports its
// data centre only after the evacuation was applied.
for (const [name, send] of Object.entries(WAYS)) {
    void t.test(name, t => {
        const sent = new Fixture();
        send(sent);
        t.same(sent.calls, ["agent.start"], "sent without an evacuation");
        const withheld = new Fixture();
        withheld.evacuation.replaceIfNewer({ version: 2, dataCentres: ["west"] });
        send(withheld);
        t.same(withheld.calls, [], "not sent");
        t.equal(withheld.state.runs.size, 0, "nothing can be running");
        t.equal(withheld.restored.openJob.task(KEY).placement, undefined, "the task starts elsewhere");
        t.end();
    });
}

// Guards against dropping a start that may take effect, so that the task would run twice.
void t.test("a start that was sent is stopped before a reconnection sends it again", t => {
    const fixture = new Fixture();
    fixture.orders.start(fixture.tracked);
    fixture.evacuation.replaceIfNewer({ version: 2, dataCentres: ["west"] });
    fixture.orders.resendOrders(fixture.state);
    t.same(fixture.calls, ["agent.start", "agent.stop"]);
    t.equal(fixture.state.runs.size, 1, "it counts as present");
    t.end();
});

// Guards against a stop that is never sent because the controller lease had lapsed when it was decided.
void t.test("a stop that could not be sent is repeated", async t => {
    const fixture = new Fixture();
    fixture.orders.start(fixture.tracked);
    fixture.lease.isValid = false;
    fixture.orders.stop(fixture.tracked);
    await fixture.restored.clock.advance(1_000);
    t.same(fixture.calls, ["agent.start"]);
    fixture.lease.isValid = true;
    fixture.reconciler.reconcile();
    t.same(fixture.calls, ["agent.start", "agent.stop"]);
});
