import t from "tap";
import { ControllerFixture } from "./controllerFixture.js";
import { KNOWN_RED } from "./knownRed.js";

/** A moment after which the authority of a controller whose renewals fail is over; deadlines are given for 3 s. */
const AUTHORITY_OVER_MS = 5_000;
const SETTLE_MS = 1_000;

interface Case {
    /** Broken rule of the specification that a start would show. */
    readonly brokenRule: string;
    readonly beforeAnswer: (fixture: ControllerFixture) => Promise<void> | void;
}

const CASES: readonly Case[] = [
    {
        brokenRule: "orderAfterCancellation",
        beforeAnswer: fixture => {
            fixture.cancel();
        },
    },
    {
        brokenRule: "orderAfterAuthority",
        beforeAnswer: async fixture => {
            fixture.isTermDown = true;
            await fixture.pass(AUTHORITY_OVER_MS);
        },
    },
];

// Guards against starts whose claim became durable before something spoke against them.
for (const { brokenRule, beforeAnswer } of CASES) {
    void t.test(`the controller does not follow the broken rule ${brokenRule}`, async t => {
        const fixture = new ControllerFixture();
        await fixture.start();
        await beforeAnswer(fixture);
        fixture.answerClaim();
        await fixture.pass(SETTLE_MS);
        const starts = fixture.executors.flatMap(executor => executor.starts).map(({ task, run }) => `${task}#${run}`);
        await fixture.stop();
        if (KNOWN_RED.has(brokenRule)) {
            t.comment("known red, KNOWN-RED.txt");
            t.same(starts, ["a.0.0.0#1"], "KNOWN-RED.txt lists this rule, so the controller follows it");
        }
        else {
            t.same(starts, [], "nothing starts");
        }
    });
}

// Guards against a fixture in which nothing would start anyway.
void t.test("a claim that is answered in time is ordered", async t => {
    const fixture = new ControllerFixture();
    await fixture.start();
    fixture.answerClaim();
    await fixture.pass(SETTLE_MS);
    t.equal(fixture.executors.flatMap(executor => executor.starts).length, 1);
    await fixture.stop();
});
