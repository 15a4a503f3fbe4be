import t from "tap";
import type { TrackedRun } from "../src/executorState.js";
import { startsToWithdraw } from "../src/startWithdrawal.js";
import { restoreCluster } from "./clusterStateFixture.js";

const DEMAND = { milliCores: 1, memoryMb: 0, accelerators: 0 };
const DATA_CENTRES = { x1: "west", x2: "east" };

/** Places the two tasks of a step, the first one in the evacuated data centre, and returns those to withdraw. */
const withdrawn = (isGang: boolean, change: Partial<TrackedRun>, evacuated = "west"): readonly string[] => {
    const { cluster, openJob } = restoreCluster([{ count: 2, isGang, demand: DEMAND }], {});
    const runs = Object.entries(DATA_CENTRES).map(([executorId, dataCentre], index) => {
        const state = cluster.getOrAddExecutor(`vm-${executorId}`, executorId);
        state.info = {
            ...{ executorId, born: 1, service: "steps", dataCentre, isDraining: false, labels: [] },
            capacity: DEMAND,
        };
        return cluster.claim(openJob, `0.0.${index}`, 1, state);
    });
    Object.assign(runs[0] ?? {}, change);
    return startsToWithdraw({
        executors: cluster.executors,
        jobs: { byId: new Map([["a", openJob]]) },
        isEvacuated: dataCentre => dataCentre === evacuated,
    }).map(({ task }) => task);
};

const PENDING: Readonly<Record<string, Partial<TrackedRun>>> = {
    "a claim that is not durable": {},
    "a durable claim": { isClaimDurable: true },
    "a start that waits for a renewal": { isClaimDurable: true, isAwaitingRenewal: true },
    "a start without an answer": { isClaimDurable: true, unansweredStarts: 1, startSentAt: 0 },
};

// Guards against runs that have started and are stopped, which loses their work.
const STARTED: Readonly<Record<string, Partial<TrackedRun>>> = {
    "an answered start": { isClaimDurable: true, startSentAt: 0, startAnswerClockMs: 1 },
    "a listed run whose start was not answered": { isClaimDurable: true, unansweredStarts: 1, firstListedAt: 1 },
    "a run of an earlier controller that is not listed yet": { isClaimDurable: true, isInherited: true },
    "a run that is being stopped": { isClaimDurable: true, isStopping: true },
    "a run whose task is done": { isClaimDurable: true, isTaskDone: true },
};

// Guards against starts that an evacuation does not reach, and gangs of which members go on waiting for others.
void t.test("starts that may not have taken effect are withdrawn, gangs as a whole", t => {
    for (const [name, change] of Object.entries(PENDING)) {
        t.same(withdrawn(false, change), ["a.0.0.0"], name);
        t.same(withdrawn(true, change), ["a.0.0.0", "a.0.0.1"], `${name}, in a gang`);
        t.same(withdrawn(true, change, "north"), [], `${name}, elsewhere`);
    }
    for (const [name, change] of Object.entries(STARTED)) {
        t.same(withdrawn(false, change), [], name);
        t.same(withdrawn(true, change), [], `${name}, in a gang`);
    }
    t.end();
});
