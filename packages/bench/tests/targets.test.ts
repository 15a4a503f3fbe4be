import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import t from "tap";
import { runBench } from "../src/benchRun.js";
import type { TargetRow } from "../src/targets.js";
import { targetRows, TARGETS } from "../src/targets.js";
import type { DeploymentName } from "../src/traceSchema.js";

/** One hour of each small deployment; the plan takes too long for a test. */
const HOURS = 1;
const SEEDS = [1, 2, 3];
const DEPLOYMENTS: readonly DeploymentName[] = ["cooperative", "lentesud"];

const KNOWN_RED = fileURLToPath(new URL("../../../../KNOWN-RED.txt", import.meta.url));
const PREFIX = "bench-target: ";

/** Rows that are listed as failing, as `DEPLOYMENT seed=N ROW`. */
const listedFailures = (): readonly string[] =>
    readFileSync(KNOWN_RED, "utf8").split("\n")
        .filter(line => line.startsWith(PREFIX))
        .map(line => line.slice(PREFIX.length).split(";")[0]?.trim() ?? "");

const failures: string[] = [];

const rowsOf = (deployment: DeploymentName, seed: number): readonly TargetRow[] => {
    const bench = runBench({
        deployment,
        seed,
        hours: HOURS,
        policies: ["persimmonpitch", "fifoFirstFit", "fifoBackfill"],
        options: {},
    });
    t.same([...bench.broken], [], `no policy breaks an invariant on ${deployment} seed=${seed}`);
    return targetRows(bench, "persimmonpitch");
};

for (const deployment of DEPLOYMENTS) {
    for (const seed of SEEDS) {
        // Guards against a target that is not evaluated, which would pass as if it were met.
        void t.test(`every target of ${deployment} is evaluated on seed ${seed}`, t => {
            const rows = rowsOf(deployment, seed);
            t.same(
                rows.map(({ measure }) => measure),
                TARGETS.filter(({ deployments }) => deployments.includes(deployment)).map(({ measure }) => measure),
            );
            failures.push(
                ...rows.filter(({ ok }) => !ok).map(({ measure }) => `${deployment} seed=${seed} ${measure}`),
            );
            t.end();
        });
    }
}

// Guards against a target that is no longer met, and against an entry that stays listed after its target is met.
void t.test("exactly the rows listed in KNOWN-RED.txt miss their targets", t => {
    t.same([...failures].sort(), [...listedFailures()].sort());
    t.end();
});
