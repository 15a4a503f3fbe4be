import fc from "fast-check";
import t from "tap";
import { stepsInTurn } from "../src/adviceTurns.js";
import type { StepNeedingAdvice } from "../src/stepsNeedingAdvice.js";

const SEED = 53_001;
const RUNS = 200;
/** One call in four goes to the step that has had none for longest. */
const CALLS_PER_STEP = 4;

const POLICY = { decisionMs: 100, perExecutorMs: 10, validityMs: 3_000 };

const stepOf = (name: string, lastAskedAt: number, hasRoom: boolean): StepNeedingAdvice => ({
    jobId: name,
    name,
    policy: POLICY,
    waiting: 1,
    atOnce: 1,
    lastAskedAt,
    hasRoom: () => hasRoom,
    candidates: () => [],
});

/** Steps in order of rank, each with or without room. */
const waitingInput = fc.array(fc.boolean(), { minLength: 1, maxLength: 100 });

/** Calls that are made until each step has had one, where no call makes a step start. */
const callsUntilAllAsked = (rooms: readonly boolean[]): number => {
    const lastCalls = rooms.map((_, rank) => rank - rooms.length);
    const asked = new Set<string>();
    for (let calls = 0; calls < CALLS_PER_STEP * rooms.length; calls += 1) {
        const steps = rooms.map((hasRoom, rank) => stepOf(`step${rank}`, lastCalls[rank] ?? 0, hasRoom));
        const [next] = stepsInTurn(steps, calls);
        if (next !== undefined) {
            asked.add(next.name);
            lastCalls[steps.indexOf(next)] = calls;
        }
        if (asked.size === rooms.length) {
            return calls + 1;
        }
    }
    return Infinity;
};

// Guards against a step that is never asked about because steps of better rank, or steps that have room, use every
// call.
void t.test("each waiting step is asked about within a bounded number of calls", t => {
    fc.assert(
        fc.property(waitingInput, rooms => callsUntilAllAsked(rooms) <= CALLS_PER_STEP * rooms.length),
        { seed: SEED, numRuns: RUNS },
    );
    t.end();
});

// Guards against calls for blocked work while work that has room waits, and against room alone deciding who is asked.
void t.test("successive calls go by rank, by room and by the last call", t => {
    const steps = [
        stepOf("blocked", 50, false),
        stepOf("oldest", 10, false),
        stepOf("fits, asked before", 40, true),
        stepOf("fits", 30, true),
    ];
    t.matchSnapshot([0, 1, 2, 3].map(calls => [...stepsInTurn(steps, calls)].map(({ name }) => name).join(" > ")));
    t.matchSnapshot([...stepsInTurn(steps.slice(0, 2), 1)].map(({ name }) => name).join(" > "), "no step has room");
    t.end();
});
