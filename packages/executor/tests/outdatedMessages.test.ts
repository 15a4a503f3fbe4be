import t from "tap";
import { AgentFixture } from "./agentFixture.js";

const EARLIER = { born: 1_000, address: "10.0.0.1:8080" };
const LATER = { born: 2_000, address: "10.0.0.1:8081" };
const LONG_RUNNING = { isLongRunning: true };

const seeLaterIncarnation = async () => {
    const fixture = new AgentFixture({ born: LATER.born });
    const [executor] = fixture.executors;
    if (executor === undefined) {
        throw new Error("The fixture has no executor.");
    }
    const { info } = executor.heartbeat();
    fixture.agent.onHeartbeat({ ...info, ...LATER }, 5);
    const controller = fixture.connectController(1);
    void controller.attach();
    await fixture.clock.advance(500);
    return { fixture, executor, controller, info };
};

// Guards against a heartbeat that was delayed until its executor had restarted at another address: the agent called the
// old address, found nothing there, and the runs on the new incarnation were started a second time elsewhere.
void t.test("a heartbeat of an earlier incarnation changes nothing", async t => {
    const { fixture, controller, info } = await seeLaterIncarnation();
    const reports = controller.reports.length;
    fixture.agent.onHeartbeat({ ...info, ...EARLIER }, 90);
    fixture.agent.onHeartbeat({ ...info, ...LATER, address: "10.0.0.1:8082" }, 4);
    await fixture.clock.advance(100);
    t.same(fixture.addresses, [LATER.address], "addresses");
    t.equal(controller.reports.slice(reports).filter(({ executor }) => executor.born !== LATER.born).length, 0);
    fixture.agent.onHeartbeat({ ...info, ...LATER, address: "10.0.0.1:8082" }, 6);
    await fixture.clock.advance(0);
    t.same(fixture.addresses, [LATER.address, "10.0.0.1:8082"], "a newer heartbeat counts");
    await fixture.agent.stop();
});

// Guards against a late deregistration that marks the executor's next incarnation as leaving for good.
void t.test("a deregistration of an earlier incarnation changes nothing", async t => {
    const { fixture, executor, controller } = await seeLaterIncarnation();
    fixture.agent.onLeave(executor.executorId, EARLIER.born);
    void controller.start(executor, "a", LONG_RUNNING);
    await fixture.clock.advance(500);
    fixture.agent.onLeave(executor.executorId, LATER.born);
    void controller.start(executor, "b", LONG_RUNNING);
    await fixture.clock.advance(500);
    t.same(executor.starts.map(({ task }) => task), ["a"]);
    await fixture.agent.stop();
});

// Guards against work that starts on a new incarnation of another kind because of the labels of the one before.
void t.test("an incarnation without a heartbeat gets no work", async t => {
    const { fixture, executor, controller } = await seeLaterIncarnation();
    executor.restart();
    await fixture.clock.advance(500);
    void controller.start(executor, "a", LONG_RUNNING);
    await fixture.clock.advance(500);
    t.same(executor.starts, [], "before its first heartbeat");
    const { info, sequence } = executor.heartbeat();
    fixture.agent.onHeartbeat({ ...info, address: LATER.address, labels: ["b"] }, sequence);
    await fixture.clock.advance(500);
    t.same(controller.reports.at(-1)?.executor.labels, ["b"]);
    void controller.start(executor, "b", LONG_RUNNING);
    await fixture.clock.advance(500);
    t.same(executor.starts.map(({ task }) => task), ["b"], "after it");
    await fixture.agent.stop();
});
