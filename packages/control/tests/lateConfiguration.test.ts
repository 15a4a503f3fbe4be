import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RowStoreFaults } from "@persimmonpitch/standins/memoryRowStore.js";
import t from "tap";
import { Deployment } from "./deploymentFixture.js";

const NODES = ["n1", "n2", "n3", "n4"];
/** Time after its confirmation in which a change has to be in force on an entry that reaches the store or a peer. */
const MAX_DELAY_MS: Millis = 2_000;
const STEP_MS: Millis = 100;
const OBSERVED_MS: Millis = 10_000;
/** Time until a long poll that gets no answer is given up. */
const SILENCE_MS: Millis = 1_700;

interface LateCase {
    readonly guardsAgainst: string;
    readonly faults: Partial<RowStoreFaults>;
    readonly partitioned: readonly string[];
    /** Entries to which the store tells no changes of the operator table. */
    readonly uninformed?: readonly string[];
}

const CASES: readonly LateCase[] = [
    {
        guardsAgainst: "an entry that waits for the store, and then for a peer that the store does not answer either",
        faults: { silent: ["n1", "n2", "n3"], silenceMs: SILENCE_MS },
        partitioned: [],
    },
    {
        guardsAgainst: "an entry that waits for peers that it cannot reach",
        faults: { silent: ["n1"], silenceMs: SILENCE_MS },
        partitioned: ["n1-n2", "n2-n1", "n1-n3", "n3-n1"],
    },
    {
        guardsAgainst: "entries that take each answer of the store for the latest state",
        faults: {},
        partitioned: [],
        uninformed: ["n1", "n2", "n3"],
    },
    { guardsAgainst: "entries that the store refuses", faults: { refused: ["n1", "n2", "n3"] }, partitioned: [] },
];

/** A change by the operator. */
interface OperatorChange {
    readonly name: string;
    readonly write: (deployment: Deployment, number: number) => Promise<void>;
    readonly isInForce: (deployment: Deployment, entry: string, number: number) => boolean;
}

const isEven = (number: number): boolean => number % 2 === 0;

const CHANGES: readonly OperatorChange[] = [
    {
        name: "a configuration",
        write: (deployment, number) => deployment.putConfig(number),
        isInForce: ({ configs }, entry, number) => configs.get(entry)?.current?.version === number,
    },
    {
        // An order may take effect up to 3 s after it is sent, and nothing may start 5 s after an evacuation.
        name: "an evacuation or its end",
        write: (deployment, number) => isEven(number) ? deployment.evacuate("dc1") : deployment.endEvacuation("dc1"),
        isInForce: ({ evacuations }, entry, number) => evacuations.get(entry)?.isEvacuated("dc1") === isEven(number),
    },
];

/** Longest time until the change is in force on all entries, or infinity if it is not after `OBSERVED_MS`. */
const longestDelay = async (
    deployment: Deployment,
    { isInForce }: OperatorChange,
    number: number,
): Promise<Millis> => {
    for (let delay = 0; delay <= OBSERVED_MS; delay += STEP_MS) {
        if (NODES.every(name => isInForce(deployment, name, number))) {
            return delay;
        }
        await deployment.advance(STEP_MS);
    }
    return Infinity;
};

for (const { guardsAgainst, faults, partitioned, uninformed = [] } of CASES) {
    for (const change of CHANGES) {
        void t.test(`${change.name}, confirmed, guards against ${guardsAgainst}`, async t => {
            const deployment = new Deployment(NODES, ["e1"]);
            await deployment.advance(5_000);
            deployment.store.setFaults(faults);
            partitioned.forEach(pair => deployment.partitioned.add(pair));
            uninformed.forEach(name => deployment.withoutOperatorChanges.add(name));
            const delays: Millis[] = [];
            for (const number of [2, 3, 4, 5]) {
                await change.write(deployment, number);
                delays.push(await longestDelay(deployment, change, number));
                await deployment.advance(700);
            }
            t.ok(delays.every(delay => delay <= MAX_DELAY_MS), `delays of ${delays.join(", ")} ms`);
            deployment.nodes.forEach(node => {
                node.stop();
            });
        });
    }
}
