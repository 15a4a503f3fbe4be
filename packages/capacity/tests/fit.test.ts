import t from "tap";
import { fitLine, valueAt } from "../src/fit.js";

const round = (value: number): number => Number(value.toFixed(6));

const CASES = {
    "a line without noise": [{ x: 1, y: 5 }, { x: 2, y: 7 }, { x: 4, y: 11 }],
    "noise on both sides": [{ x: 0, y: 1 }, { x: 1, y: 0 }, { x: 2, y: 5 }, { x: 3, y: 4 }],
    falling: [{ x: 10, y: 20 }, { x: 20, y: 0 }],
    "one size only": [{ x: 3, y: 4 }, { x: 3, y: 8 }],
    "one point": [{ x: 186, y: 14_000 }],
} as const;

// Guards against a fit whose slope, intercept or residual is wrong, on which every figure of the page rests.
void t.test("lines through points", t => {
    for (const [name, samples] of Object.entries(CASES)) {
        const { slope, intercept, residual, points } = fitLine(samples);
        t.matchSnapshot({ slope, intercept, residual: round(residual), points }, name);
    }
    t.end();
});

// Guards against a figure that is read off the line at the wrong size.
void t.test("the value at a size", t => {
    t.equal(valueAt(fitLine(CASES["a line without noise"]), 930), 1_863);
    t.end();
});

// Guards against a figure of NaN when a measurement gave nothing.
void t.test("no points", t => {
    t.throws(() => fitLine([]), /at least one point/);
    t.end();
});
