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
    { guardsAgainst: "entries that the store refuses", faults: { refused: ["n1", "n2", "n3"] }, partitioned: [] },
];

/** Longest time until an entry has the version, or infinity if one does not have it after `OBSERVED_MS`. */
const longestDelay = async (deployment: Deployment, version: number): Promise<Millis> => {
    const isUpToDate = (name: string) => deployment.configs.get(name)?.current?.version === version;
    for (let delay = 0; delay <= OBSERVED_MS; delay += STEP_MS) {
        if (NODES.every(isUpToDate)) {
            return delay;
        }
        await deployment.advance(STEP_MS);
    }
    return Infinity;
};

for (const { guardsAgainst, faults, partitioned } of CASES) {
    void t.test(`a confirmed configuration guards against ${guardsAgainst}`, async t => {
        const deployment = new Deployment(NODES, ["e1"]);
        await deployment.advance(5_000);
        deployment.store.setFaults(faults);
        partitioned.forEach(pair => deployment.partitioned.add(pair));
        const delays: Millis[] = [];
        for (const version of [2, 3, 4, 5]) {
            await deployment.putConfig(version);
            delays.push(await longestDelay(deployment, version));
            await deployment.advance(700);
        }
        t.ok(delays.every(delay => delay <= MAX_DELAY_MS), `delays of ${delays.join(", ")} ms`);
        deployment.nodes.forEach(node => {
            node.stop();
        });
    });
}
