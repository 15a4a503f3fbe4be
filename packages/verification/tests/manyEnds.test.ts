import type { Millis } from "@persimmonpitch/clock/clock.js";
import t from "tap";
import { ControllerFixture } from "./controllerFixture.js";

const TASKS = 1_000;
const RUN_MS: Millis = 2_000;
const DOWN_MS: Millis = 3_000;

/** Long enough that a task could be started again before the acknowledgement of the first ends is answered. */
const LINK_DELAY_MS: Millis = 150;

// Guards against tasks that run again because an executor lists only the first 500 ends, so that the runs beyond them
// look as if they had never existed.
void t.test("more ends than an executor lists at a time", async t => {
    const payload = JSON.stringify({ runMs: RUN_MS });
    const fixture = new ControllerFixture({ tasks: TASKS, payload, linkDelayMs: LINK_DELAY_MS });
    await fixture.start();
    fixture.answerClaim();
    await fixture.pass(RUN_MS / 2);
    const [executor] = fixture.executors;
    t.equal(executor?.starts.length, TASKS, "all tasks have started");
    await fixture.restartAgent(DOWN_MS);
    t.equal(executor?.allEnds.length, TASKS, "all tasks have ended while the agent was down");
    await fixture.pass(2 * RUN_MS);
    t.equal(executor?.starts.length, TASKS, "no task has started again");
    t.equal(fixture.outcome(), "completed", "all ends are recorded");
    await fixture.stop();
});
