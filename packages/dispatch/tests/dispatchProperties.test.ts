import fc from "fast-check";
import t from "tap";
import { dispatchPass } from "../src/dispatchPass.js";
import { ruleBreaches } from "./dispatchRules.js";
import { buildView, viewInput } from "./generatedView.js";

const SEED = 20_251;
const RUNS = 400;

void t.test("decisions on random views keep the rules on capacity, readiness, executors and gangs", t => {
    fc.assert(
        fc.property(viewInput, input => {
            const view = buildView(input);
            const decisions = dispatchPass(view);
            t.strictSame(dispatchPass(buildView(input)), decisions);
            const breaches = ruleBreaches(view, decisions);
            if (breaches.length > 0) {
                throw new Error(breaches.join("; "));
            }
        }),
        { seed: SEED, numRuns: RUNS },
    );
    t.end();
});
