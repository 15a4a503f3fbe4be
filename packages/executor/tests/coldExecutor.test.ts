import t from "tap";
import { AgentFixture } from "./agentFixture.js";

// Guards against an executor that stays cold for the controller because its heartbeats do not arrive, and against a
// controller that hears only with the next periodic report that an executor is cold.
void t.test("the time that an executor stays cold falls from report to report", async t => {
    const fixture = new AgentFixture({});
    const [executor] = fixture.executors;
    const controller = await fixture.attachController();
    if (executor === undefined) {
        throw new Error("The fixture has no executor.");
    }
    await fixture.clock.advance(300);
    controller.reports.length = 0;
    executor.setCold(2_500);
    fixture.heartbeat(executor);
    await fixture.clock.advance(0);
    t.equal(controller.reports.length, 1, "reported at once");
    await fixture.clock.advance(4_000);
    const remaining = controller.reports.map(({ executor: { coldRemainingMs } }) => coldRemainingMs);
    t.same(remaining, [...remaining].sort((left = 0, right = 0) => right - left), `falls: ${remaining.join(", ")}`);
    t.equal(remaining.at(0), 2_500);
    t.equal(remaining.at(-1), 0);
});
