import t from "tap";
import { directRows } from "../src/directRows.js";

const SEEDS = [1, 2];
const DURATION_MS = 10_000;

const CASES = SEEDS.flatMap(seed =>
    (["cooperative", "lentesud"] as const).flatMap(deployment =>
        [1, 3].map(load => ({ seed, deployment, load, durationMs: DURATION_MS }))
    )
);

// Guards against lost goodput under overload, late accepted renders, untruthful refusals and reruns (I4, I5, I6).
void t.test("every bound holds with the routing decisions", t => {
    CASES.forEach(options => {
        const failed = directRows(options).filter(({ ok }) => !ok);
        t.strictSame(failed, [], `${options.deployment}, load ${options.load}, seed ${options.seed}`);
    });
    t.end();
});

// Guards against bounds that nothing can miss: without limits an overload must break them.
void t.test("the baselines miss the bounds", t => {
    t.matchSnapshot((["randomFifo", "roundRobin"] as const).map(policy => ({
        policy,
        missed: directRows({ policy, durationMs: DURATION_MS }).filter(({ ok }) => !ok).map(({ measure }) => measure),
    })));
    t.end();
});

// Guards against hidden state or real time in the replay, which would make its verdict change between runs.
void t.test("a seed gives the same rows every time", t => {
    t.strictSame(directRows({ durationMs: DURATION_MS }), directRows({ durationMs: DURATION_MS }));
    t.end();
});
