import t from "tap";
import { runUnderFaults } from "../src/faultRun.js";
import type { FaultName } from "../src/faults.js";
import { FAULTS } from "../src/faults.js";
import { seededRandom } from "../src/seededRandom.js";

const FIXED_SEED = 20_261_204;
const SEED = Number(process.env["FAULT_SEED"] ?? FIXED_SEED);
const PAIRS = Number(process.env["FAULT_PAIRS"] ?? 24);
const MAX_DELAY_MS = 12_000;
const NAMES = Object.keys(FAULTS) as FaultName[];

// Guards against a fault that breaks an invariant by itself, and against a change in what callers are told.
// The invariants hold for every seed; what callers are told depends on the seed, so the snapshots are of one.
for (const name of NAMES) {
    void t.test(`invariants hold under ${name}`, async t => {
        const { summary, findings } = await runUnderFaults({
            faults: [name],
            delayMs: 4_000,
            random: seededRandom(SEED),
        });
        t.same(findings, []);
        if (SEED === FIXED_SEED) {
            t.matchSnapshot(summary);
        }
    });
}

// Guards against faults that break an invariant only together. FAULT_SEED and FAULT_PAIRS try others.
const random = seededRandom(SEED);
const pick = (): FaultName => NAMES[Math.floor(random() * NAMES.length)] ?? "none";
for (let index = 0; index < PAIRS; index += 1) {
    const faults = [pick(), pick()];
    const delayMs = Math.floor(random() * MAX_DELAY_MS);
    const runSeed = SEED + index;
    void t.test(`invariants hold under ${faults.join(" and ")} after ${delayMs} ms, seed ${runSeed}`, async t => {
        const { findings } = await runUnderFaults({ faults, delayMs, random: seededRandom(runSeed) });
        t.same(findings, []);
    });
}
