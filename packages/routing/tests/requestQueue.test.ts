import fc from "fast-check";
import t from "tap";
import { DEFAULT_REQUEST_QUEUE_OPTIONS, RequestQueue } from "../src/requestQueue.js";
import { WORK_CLASSES } from "../src/workClasses.js";
import { PROPERTY_OPTIONS, requestOf } from "./fixtures.js";

const takeAll = (queue: RequestQueue): readonly string[] => {
    const entry = queue.take();
    return entry === undefined ? [] : [entry.request.requestId, ...takeAll(queue)];
};

const WORK_MS = 100;

// Guards against a large team that delays a small one, and against weights that are ignored.
void t.test("teams take turns by weight", t => {
    const queue = new RequestQueue({ ...DEFAULT_REQUEST_QUEUE_OPTIONS, weights: new Map([["heavy", 2]]) });
    ["large", "large", "large", "large", "heavy", "heavy", "heavy", "small"].forEach((team, index) => {
        queue.push(requestOf(`${team}${index}`, { team }), WORK_MS);
    });
    t.matchSnapshot(takeAll(queue));
    t.end();
});

// Guards against starvation of lower classes, and against a minimum share that overtakes more than it may.
void t.test("lower classes keep their minimum share", t => {
    const queue = new RequestQueue({ ...DEFAULT_REQUEST_QUEUE_OPTIONS, minimumShare: 0.2 });
    for (let index = 0; index < 10; index += 1) {
        queue.push(requestOf(`quick${index}`), WORK_MS);
        queue.push(requestOf(`glaze${index}`, { workClass: "bestEffort" }), WORK_MS);
    }
    t.matchSnapshot(takeAll(queue));
    t.end();
});

// Guards against credit that an idle team saves up and spends in a burst.
void t.test("an idle team saves up no credit", t => {
    const queue = new RequestQueue();
    for (let index = 0; index < 20; index += 1) {
        queue.push(requestOf(`busy${index}`, { team: "busy" }), WORK_MS);
    }
    for (let index = 0; index < 10; index += 1) {
        queue.take();
    }
    for (let index = 0; index < 3; index += 1) {
        queue.push(requestOf(`idle${index}`, { team: "idle" }), WORK_MS);
    }
    t.matchSnapshot(takeAll(queue).slice(0, 8));
    t.end();
});

const anyStep = fc.record({
    kind: fc.constantFrom(
        "push" as const,
        "push" as const,
        "take" as const,
        "takeAndPutBack" as const,
        "remove" as const,
    ),
    team: fc.nat(3),
    workClass: fc.nat(4),
    rest: fc.nat(4),
});
type QueueStep = typeof anyStep extends fc.Arbitrary<infer Step> ? Step : never;

// Guards against a request that is lost, handed out twice or counted wrongly (I3).
void t.test("the queue neither loses nor repeats a request", t => {
    fc.assert(
        fc.property(fc.array(anyStep, { maxLength: 200 }), fc.boolean(), (steps, fairOverTeams) => {
            const queue = new RequestQueue({ ...DEFAULT_REQUEST_QUEUE_OPTIONS, fairOverTeams });
            const seen: string[] = [];
            const handlers = {
                push: (step: QueueStep, index: number) => {
                    const workClass = WORK_CLASSES[step.workClass] ?? "urgent";
                    queue.push(requestOf(String(index), { team: `team${step.team}`, workClass }), WORK_MS + index);
                },
                take: () => {
                    seen.push(...[queue.take()].flatMap(entry => entry === undefined ? [] : [entry.request.requestId]));
                },
                takeAndPutBack: () => {
                    const entry = queue.take();
                    if (entry !== undefined) {
                        queue.putBack(entry.request, entry.workMs);
                    }
                },
                remove: (step: QueueStep) => {
                    const removed = queue.removeWhere(({ requestId }) => Number(requestId) % 5 === step.rest);
                    seen.push(...removed.map(({ requestId }) => requestId));
                },
            };
            steps.forEach((step, index) => {
                handlers[step.kind](step, index);
            });
            const pushed = steps.flatMap((step, index) => step.kind === "push" ? [String(index)] : []);
            const isCountRight = queue.length === pushed.length - seen.length;
            seen.push(...takeAll(queue));
            const isEmpty = queue.length === 0 && [0, 1, 2, 3].every(team => queue.lengthOf(`team${team}`) === 0);
            return isCountRight && isEmpty
                && seen.length === pushed.length && new Set(seen).size === seen.length
                && pushed.every(id => seen.includes(id));
        }),
        PROPERTY_OPTIONS,
    );
    t.end();
});
